/** Options of `ReadTurns`. */
export interface ReadTurnsOptions {
  /** Bytes that all connections together may read in a span before large reads wait for their turns. */
  readonly maxBytes: number;
  /** Length of the span, in milliseconds. */
  readonly spanMs: number;
  /** Size of a read from which its connection waits; the small reads of sound streams never do. */
  readonly minBytes: number;
}

/**
 * Has connections that send at full speed take turns. A turn of the event loop accepts one new connection
 * only, and reads from each of the others until it has nothing more, so that new callers would wait for
 * as many such turns as there are callers before them.
 */
export class ReadTurns {
  private spanStartedAtMs = -Infinity;

  private bytes = 0;

  private readonly waiting: (() => void)[] = [];

  constructor(private readonly options: ReadTurnsOptions) {}

  /**
   * Records what a connection has read.
   *
   * @returns whether it may read on; otherwise it has to wait
   */
  tryTake(bytes: number): boolean {
    const { maxBytes, spanMs, minBytes } = this.options;
    const nowMs = performance.now();
    if (nowMs - this.spanStartedAtMs >= spanMs) {
      this.spanStartedAtMs = nowMs;
      this.bytes = 0;
    }
    this.bytes += bytes;
    return bytes < minBytes || (this.waiting.length === 0 && this.bytes <= maxBytes);
  }

  /** Calls back in a turn of its own, after those that wait already. */
  wait(resume: () => void): void {
    this.waiting.push(resume);
    if (this.waiting.length === 1) setImmediate(() => this.startTurn());
  }

  private startTurn(): void {
    // A read takes up to 64 KB, in up to thousands of parts, which is enough for one turn.
    this.waiting.shift()?.();
    if (this.waiting.length > 0) setImmediate(() => this.startTurn());
  }
}
