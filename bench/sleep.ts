/** Waits for a delay on the global `setTimeout`, so that fake timers apply. */
export const sleep = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
