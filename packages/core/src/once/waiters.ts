/** Promises that wait for something to be known of a name. */
export interface Waiters<Name, Value> {
  /** Waits until the value is known; gives undefined where the signal aborts first. */
  wait(name: Name, signal: AbortSignal): Promise<Value | undefined>;
  resolve(name: Name, value: Value): void;
}

/** Creates an empty set of waiting promises. */
export const createWaiters = <Name, Value>(): Waiters<Name, Value> => {
  const waiting = new Map<Name, Set<(value: Value) => void>>();
  const remove = (name: Name, finish: (value: Value) => void): void => {
    const set = waiting.get(name);
    set?.delete(finish);
    if (set?.size === 0) waiting.delete(name);
  };
  return {
    wait: (name, signal) =>
      new Promise((resolve) => {
        if (signal.aborted) {
          resolve(undefined);
          return;
        }
        waiting.set(name, (waiting.get(name) ?? new Set()).add(resolve));
        const onAbort = (): void => {
          remove(name, resolve);
          resolve(undefined);
        };
        signal.addEventListener('abort', onAbort, { once: true });
      }),
    resolve(name, value) {
      const set = waiting.get(name);
      waiting.delete(name);
      set?.forEach((finish) => finish(value));
    },
  };
};
