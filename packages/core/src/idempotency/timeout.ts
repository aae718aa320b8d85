/** An abort signal that fires after a duration or when another signal aborts. */
export interface Timeout {
  readonly signal: AbortSignal;
  /** Releases the timer and listeners; must be called when the operation has ended. */
  clear(): void;
}

/** Starts a timeout; unlike `AbortSignal.any`, it leaves no listeners on long-lived signals. */
export const createTimeout = (durationMs: number, signals: readonly AbortSignal[]): Timeout => {
  const controller = new AbortController();
  const abort = (): void => controller.abort();
  const timer = setTimeout(abort, durationMs);
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
