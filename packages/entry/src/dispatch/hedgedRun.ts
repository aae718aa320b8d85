import { sleep } from '@goldcrestscale/core';

/** Starts one attempt of a hedged call; calls `onWin` right before it answers. */
export type StartAttempt = (signal: AbortSignal, onWin: () => void) => Promise<void>;

/** What a hedged call is made of. */
export interface HedgedCall {
  /** Wait before the second attempt, in milliseconds. */
  readonly delayMs: number;
  readonly startFirst: StartAttempt;
  /** Gives the second attempt; undefined where none is allowed. */
  takeSecond(): StartAttempt | undefined;
}

/**
 * Runs an idempotent call, with a second attempt where the first is slow. Exactly one answers;
 * the other is cancelled before the first byte of the answer is written.
 *
 * @throws the failure of the first attempt where both fail
 */
export const runHedged = async ({ delayMs, startFirst, takeSecond }: HedgedCall): Promise<void> => {
  const controllers = [new AbortController(), new AbortController()] as const;
  const [first, second] = controllers;
  const settled = new AbortController();
  const firstRun = startFirst(first.signal, () => second.abort()).finally(() => settled.abort());
  const secondRun = (async (): Promise<void> => {
    await sleep(delayMs, settled.signal);
    const start = settled.signal.aborted ? undefined : takeSecond();
    if (start) await start(second.signal, () => first.abort());
    else await firstRun;
  })();
  try {
    await Promise.any([firstRun, secondRun]);
  } catch {
    await firstRun;
  }
};
