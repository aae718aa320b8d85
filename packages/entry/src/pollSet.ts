/** Reads of many VMs side by side, one at a time for each; one that hangs holds up no other. */
export class PollSet<Key> {
  private readonly running = new Set<Key>();

  /** Starts a read unless one of the same key is under way; a failed read ends like a whole one. */
  async run(key: Key, read: () => Promise<void>): Promise<void> {
    if (this.running.has(key)) return;
    this.running.add(key);
    try {
      await read();
    } catch {
      // What is known stays in use until a later read succeeds.
    } finally {
      this.running.delete(key);
    }
  }
}
