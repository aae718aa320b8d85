import { sleep } from '@goldcrestscale/core';
import type { InputBarrier } from '@goldcrestscale/runtime';

/** Starts one attempt of a hedged request; calls `onResponseStart` right before it responds. */
export type StartAttempt = (signal: AbortSignal, onResponseStart: () => void) => Promise<void>;

/** Describes a hedged request. */
export interface HedgedRequest {
  /** Delay before the second attempt, in milliseconds. */
  readonly delayMs: number;
  /** The answer to the first attempt may have arrived when the delay is over. */
  readonly inputBarrier: InputBarrier;
  readonly startPrimary: StartAttempt;
  /** Creates the second attempt; undefined if none is allowed. */
  createHedge(): StartAttempt | undefined;
}

/**
 * Runs an idempotent request and starts a second attempt if the first is slow. Exactly one attempt
 * responds; the other is cancelled before the first byte of the response is written.
 *
 * @throws the failure of the first attempt if both fail
 */
export const runHedgedRequest = async ({
  delayMs,
  inputBarrier,
  startPrimary,
  createHedge,
}: HedgedRequest): Promise<void> => {
  const controllers = [new AbortController(), new AbortController()] as const;
  const [primary, hedge] = controllers;
  const primarySettled = new AbortController();
  const primaryRun = startPrimary(primary.signal, () => hedge.abort()).finally(() =>
    primarySettled.abort(),
  );
  const hedgeRun = (async (): Promise<void> => {
    await sleep(delayMs, primarySettled.signal);
    const start = await inputBarrier.run(() =>
      primarySettled.signal.aborted || hedge.signal.aborted ? undefined : createHedge(),
    );
    if (start) await start(hedge.signal, () => primary.abort());
    else await primaryRun;
  })();
  try {
    await Promise.any([primaryRun, hedgeRun]);
  } catch {
    await primaryRun;
  }
};
