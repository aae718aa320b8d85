/** Runs at most one action per key at a time; concurrent callers share its result. */
export class SingleFlight<Key, Result> {
  private readonly running = new Map<Key, Promise<Result>>();

  /** Number of running actions. */
  get size(): number {
    return this.running.size;
  }

  /** Runs an action unless one with the same key is already running. */
  run(key: Key, action: () => Promise<Result>): Promise<Result> {
    const known = this.running.get(key);
    if (known) return known;
    const started = action().finally(() => this.running.delete(key));
    this.running.set(key, started);
    return started;
  }
}
