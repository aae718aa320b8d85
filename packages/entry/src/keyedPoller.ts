/** Polls VMs concurrently with at most one read per VM, so that a hanging read delays no other. */
export class KeyedPoller<Key> {
  private readonly running = new Set<Key>();

  /** Starts a read unless one with the same key is in progress; ignores its failure. */
  async run(key: Key, read: () => Promise<void>): Promise<void> {
    if (this.running.has(key)) return;
    this.running.add(key);
    try {
      await read();
    } catch {
      // The last known state stays in use until a later read succeeds.
    } finally {
      this.running.delete(key);
    }
  }
}
