/** Waits for a time; resolves early when the signal aborts. */
export const sleep = (waitMs: number, signal: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal.aborted) {
      resolve();
      return;
    }
    const listener = new AbortController();
    const timer = setTimeout(() => {
      listener.abort();
      resolve();
    }, waitMs);
    const cancel = (): void => {
      clearTimeout(timer);
      resolve();
    };
    signal.addEventListener('abort', cancel, { once: true, signal: listener.signal });
  });

/** Repeats work with a pause before each run until the signal aborts; failures do not end it. */
export const repeatUntilAborted = async (
  work: () => Promise<void>,
  pauseMs: number,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    await sleep(pauseMs, signal);
    if (!signal.aborted) await work().catch(() => undefined);
  }
};
