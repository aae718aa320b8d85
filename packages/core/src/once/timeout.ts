/** A wait that ends after a time or with other signals. */
export interface Timeout {
  readonly signal: AbortSignal;
  /** Must be called once the wait is over. */
  clear(): void;
}

/** Starts a timeout; unlike `AbortSignal.any` it leaves nothing behind at long-lived signals. */
export const createTimeout = (timeMs: number, signals: readonly AbortSignal[]): Timeout => {
  const controller = new AbortController();
  const abort = (): void => controller.abort();
  const timer = setTimeout(abort, timeMs);
  signals.forEach((signal) => signal.addEventListener('abort', abort, { once: true }));
  if (signals.some((signal) => signal.aborted)) abort();
  return {
    signal: controller.signal,
    clear: () => {
      clearTimeout(timer);
      signals.forEach((signal) => signal.removeEventListener('abort', abort));
    },
  };
};
