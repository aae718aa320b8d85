/** Runs one action a key at a time; later callers share the result of the one under way. */
export class SingleFlight<Key, Result> {
  private readonly running = new Map<Key, Promise<Result>>();

  /** Actions under way. */
  get size(): number {
    return this.running.size;
  }

  /** Runs an action unless one of the same key is under way. */
  run(key: Key, action: () => Promise<Result>): Promise<Result> {
    const known = this.running.get(key);
    if (known) return known;
    const started = action().finally(() => this.running.delete(key));
    this.running.set(key, started);
    return started;
  }
}
