/** Pending promises, grouped by key. */
export interface Waiters<Key, Value> {
  /** Waits for a key's value; resolves to undefined if the signal aborts first. */
  wait(name: Key, signal: AbortSignal): Promise<Value | undefined>;
  resolve(name: Key, value: Value): void;
}

/** Creates an empty set of pending promises. */
export const createWaiters = <Key, Value>(): Waiters<Key, Value> => {
  const resolversByKey = new Map<Key, Set<(value: Value) => void>>();
  const remove = (name: Key, finish: (value: Value) => void): void => {
    const set = resolversByKey.get(name);
    set?.delete(finish);
    if (set?.size === 0) resolversByKey.delete(name);
  };
  return {
    wait: (name, signal) =>
      new Promise((resolve) => {
        if (signal.aborted) {
          resolve(undefined);
          return;
        }
        resolversByKey.set(name, (resolversByKey.get(name) ?? new Set()).add(resolve));
        const onAbort = (): void => {
          remove(name, resolve);
          resolve(undefined);
        };
        signal.addEventListener('abort', onAbort, { once: true });
      }),
    resolve(name, value) {
      const set = resolversByKey.get(name);
      resolversByKey.delete(name);
      set?.forEach((finish) => finish(value));
    },
  };
};
