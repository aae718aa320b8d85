import type { EventQueue } from './eventQueue.js';

const MS_PER_S = 1000;
const COMPLETION_TOLERANCE_BYTES = 1;

interface Flow {
  remainingBytes: number;
  readonly bytes: number;
  readonly onFinish: () => void;
}

/** Simulated link whose bandwidth is shared evenly by its transfers. */
export class LinkModel {
  private readonly flows = new Set<Flow>();

  private updatedAtMs = Date.now();

  private scheduleVersion = 0;

  /** Bytes of all finished transfers. */
  carriedBytes = 0;

  constructor(
    private readonly queue: EventQueue,
    private readonly bytesPerSecond: number,
  ) {}

  get active(): number {
    return this.flows.size;
  }

  transfer(bytes: number, onFinish: () => void): void {
    this.advance();
    this.flows.add({ remainingBytes: bytes, bytes, onFinish });
    this.scheduleNext();
  }

  private advance(): void {
    const nowMs = Date.now();
    if (this.flows.size > 0) {
      const bytesPerFlow =
        (((nowMs - this.updatedAtMs) / MS_PER_S) * this.bytesPerSecond) / this.flows.size;
      for (const flow of this.flows) flow.remainingBytes -= bytesPerFlow;
    }
    this.updatedAtMs = nowMs;
  }

  private scheduleNext(): void {
    this.scheduleVersion += 1;
    const { scheduleVersion } = this;
    if (this.flows.size === 0) return;
    const leastRemainingBytes = Math.min(...[...this.flows].map((flow) => flow.remainingBytes));
    const delayMs =
      (Math.max(0, leastRemainingBytes) * this.flows.size * MS_PER_S) / this.bytesPerSecond;
    this.queue.schedule(delayMs, () => {
      if (scheduleVersion !== this.scheduleVersion) return;
      this.advance();
      const finishedFlows = [...this.flows].filter(
        (flow) => flow.remainingBytes <= COMPLETION_TOLERANCE_BYTES,
      );
      finishedFlows.forEach((flow) => this.flows.delete(flow));
      this.scheduleNext();
      finishedFlows.forEach((flow) => {
        this.carriedBytes += flow.bytes;
        flow.onFinish();
      });
    });
  }
}
