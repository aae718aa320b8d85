import type { EventQueue } from './eventQueue.js';

const MS_PER_S = 1000;
const NEARLY_DONE_BYTES = 1;

interface Flow {
  left: number;
  readonly bytes: number;
  readonly finish: () => void;
}

/** Link of limited rate that its transfers share evenly. */
export class LinkModel {
  private readonly flows = new Set<Flow>();

  private updatedAtMs = Date.now();

  private plan = 0;

  /** Bytes carried so far. */
  carriedBytes = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly bytesPerSecond: number,
  ) {}

  get active(): number {
    return this.flows.size;
  }

  /** Starts a transfer. */
  transfer(bytes: number, finish: () => void): void {
    this.advance();
    this.flows.add({ left: bytes, bytes, finish });
    this.scheduleNext();
  }

  private advance(): void {
    const nowMs = Date.now();
    if (this.flows.size > 0) {
      const each =
        (((nowMs - this.updatedAtMs) / MS_PER_S) * this.bytesPerSecond) / this.flows.size;
      for (const flow of this.flows) flow.left -= each;
    }
    this.updatedAtMs = nowMs;
  }

  private scheduleNext(): void {
    this.plan += 1;
    const { plan } = this;
    if (this.flows.size === 0) return;
    const least = Math.min(...[...this.flows].map((flow) => flow.left));
    const delayMs = (Math.max(0, least) * this.flows.size * MS_PER_S) / this.bytesPerSecond;
    this.queue.schedule(delayMs, () => {
      if (plan !== this.plan) return;
      this.advance();
      const done = [...this.flows].filter((flow) => flow.left <= NEARLY_DONE_BYTES);
      done.forEach((flow) => this.flows.delete(flow));
      this.scheduleNext();
      done.forEach((flow) => {
        this.carriedBytes += flow.bytes;
        flow.finish();
      });
    });
  }
}
