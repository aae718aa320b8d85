import type { LeaseReading, LeaseStream } from './leaseStream.js';
import { computeLongestElapsed, computeShortestElapsed, getNow } from './elapsedTime.js';
import type { Moment } from './elapsedTime.js';

/** A lease grant, valid until it expires. */
export interface FencedHold {
  /** Increases with each acquisition and renewal across the fleet. */
  readonly fencingToken: number;
}

/** Options of a conditional lease. */
export interface ConditionalLeaseOptions {
  /** Identifies this process instance. */
  readonly holder: string;
  readonly stream: LeaseStream;
  /** Lease duration, counted from before the append was sent, in milliseconds. */
  readonly durationMs: number;
  /** Safety margin by which the holder stops before the lease expires, in milliseconds. */
  readonly marginMs: number;
}

interface TimedGrant extends FencedHold {
  readonly requestedAt: Moment;
}

/**
 * A lease acquired by a conditional append at the end of a stream. Only one append succeeds at an
 * offset, and its sender becomes the holder; the fencing token derives from that offset. Other
 * candidates wait until the newest record has stayed unchanged for longer than the lease duration.
 */
export class ConditionalLease {
  private grant: TimedGrant | undefined;

  private lastTail: { readonly end: number; readonly seenAt: Moment } | undefined;

  constructor(private readonly options: ConditionalLeaseOptions) {}

  /** The grant if it is valid now; check again after each await. */
  get held(): FencedHold | undefined {
    const { durationMs, marginMs } = this.options;
    if (!this.grant) return undefined;
    return computeLongestElapsed(this.grant.requestedAt) < durationMs - marginMs
      ? this.grant
      : undefined;
  }

  /** Whether there is no grant or more than half of its duration has elapsed. */
  get isDue(): boolean {
    const { durationMs } = this.options;
    return !this.grant || computeLongestElapsed(this.grant.requestedAt) > durationMs / 2;
  }

  /** Observes the newest record without acquiring, so that the holder's expiry can be timed. */
  async watch(signal: AbortSignal): Promise<void> {
    await this.readTail(signal);
  }

  /** Acquires or renews the lease; after a failure, the existing grant stays valid until it expires. */
  async acquire(signal: AbortSignal): Promise<FencedHold | undefined> {
    const tail = await this.readTail(signal);
    if (!this.canAcquire(tail)) return undefined;
    const requestedAt = getNow();
    const { stream, holder } = this.options;
    const offset = await stream.appendAt(tail.end, holder, signal);
    if (offset === undefined) return undefined;
    this.grant = { fencingToken: offset + 1, requestedAt };
    return this.held;
  }

  private async readTail(signal: AbortSignal): Promise<LeaseReading> {
    const tail = await this.options.stream.read(signal);
    if (this.lastTail?.end !== tail.end) this.lastTail = { end: tail.end, seenAt: getNow() };
    return tail;
  }

  private canAcquire({ holder }: LeaseReading): boolean {
    if (holder === undefined || holder === this.options.holder) return true;
    const { durationMs, marginMs } = this.options;
    return !!this.lastTail && computeShortestElapsed(this.lastTail.seenAt) > durationMs + marginMs;
  }
}
