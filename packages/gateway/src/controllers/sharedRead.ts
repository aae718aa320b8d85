/**
 * A read that callers share. A caller gets one that starts after its call, because a read that is
 * under way may have passed what the caller looks for.
 */
export class SharedRead {
  private waiting: Promise<void> | undefined;

  /** Settles when the last read has ended. */
  private lastRead: Promise<void> = Promise.resolve();

  constructor(private readonly read: () => Promise<void>) {}

  run(): Promise<void> {
    if (this.waiting) return this.waiting;
    const waiting = this.lastRead.then(() => {
      this.waiting = undefined;
      return this.read();
    });
    this.waiting = waiting;
    this.lastRead = waiting.catch(() => undefined);
    return waiting;
  }
}
