import { sleep } from '@goldcrestscale/core';

/** Repeats work with a pause before each run until the signal aborts; failures do not end it. */
export const repeatUntilAborted = async (
  work: () => Promise<void>,
  pauseMs: number,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    await sleep(pauseMs, signal).catch(() => undefined);
    if (!signal.aborted) await work().catch(() => undefined);
  }
};

/** Starts work at an interval until the signal aborts, without awaiting the run before. */
export const repeatWhileRunning = (
  work: () => Promise<void>,
  intervalMs: number,
  signal: AbortSignal,
): void => {
  const timer = setInterval(() => {
    work().catch(() => undefined);
  }, intervalMs);
  signal.addEventListener('abort', () => clearInterval(timer), { once: true });
};
