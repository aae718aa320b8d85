import { sleep } from '@goldcrestscale/core';

/** Runs a task repeatedly, with a pause before each run, until aborted; ignores its failures. */
export const repeatUntilAborted = async (
  task: () => Promise<void>,
  pauseMs: number,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    await sleep(pauseMs, signal).catch(() => undefined);
    if (!signal.aborted) await task().catch(() => undefined);
  }
};

/** Starts a task at an interval until the signal aborts; runs may overlap; ignores failures. */
export const repeatAtInterval = (
  task: () => Promise<void>,
  intervalMs: number,
  signal: AbortSignal,
): void => {
  const timer = setInterval(() => {
    task().catch(() => undefined);
  }, intervalMs);
  signal.addEventListener('abort', () => clearInterval(timer), { once: true });
};
