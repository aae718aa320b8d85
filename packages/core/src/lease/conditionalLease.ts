import type { LeaseStreamTail, LeaseStream } from './leaseStream.js';
import { computeMaxElapsedMs, computeMinElapsedMs, readClocks } from './clockReading.js';
import type { ClockReading } from './clockReading.js';

/** A lease grant, valid until it expires. */
export interface LeaseGrant {
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

interface TimedGrant extends LeaseGrant {
  readonly requestedAt: ClockReading;
}

/**
 * A lease acquired by a conditional append at the end of a stream. Only one append succeeds at an
 * offset, and its sender becomes the holder; the fencing token derives from that offset. Other
 * candidates wait until the newest record has stayed unchanged for longer than the lease duration.
 */
export class ConditionalLease {
  private grant: TimedGrant | undefined;

  private lastTail: { readonly endOffset: number; readonly seenAt: ClockReading } | undefined;

  constructor(private readonly options: ConditionalLeaseOptions) {}

  /** The grant if it is valid now; check again after each await. */
  get currentGrant(): LeaseGrant | undefined {
    const { durationMs, marginMs } = this.options;
    if (!this.grant) return undefined;
    return computeMaxElapsedMs(this.grant.requestedAt) < durationMs - marginMs
      ? this.grant
      : undefined;
  }

  /** Whether there is no grant or more than half of its duration has elapsed. */
  get isRenewalDue(): boolean {
    const { durationMs } = this.options;
    return !this.grant || computeMaxElapsedMs(this.grant.requestedAt) > durationMs / 2;
  }

  /** Observes the newest record without acquiring, so that the holder's expiry can be timed. */
  async watch(signal: AbortSignal): Promise<void> {
    await this.readTail(signal);
  }

  /** Acquires or renews the lease; after a failure, the existing grant stays valid until it expires. */
  async acquire(signal: AbortSignal): Promise<LeaseGrant | undefined> {
    const tail = await this.readTail(signal);
    if (!this.canAcquire(tail)) return undefined;
    const requestedAt = readClocks();
    const { stream, holder } = this.options;
    const offset = await stream.appendAt(tail.endOffset, holder, signal);
    if (offset === undefined) return undefined;
    this.grant = { fencingToken: offset + 1, requestedAt };
    return this.currentGrant;
  }

  private async readTail(signal: AbortSignal): Promise<LeaseStreamTail> {
    const tail = await this.options.stream.read(signal);
    if (this.lastTail?.endOffset !== tail.endOffset)
      this.lastTail = { endOffset: tail.endOffset, seenAt: readClocks() };
    return tail;
  }

  private canAcquire({ holder }: LeaseStreamTail): boolean {
    if (holder === undefined || holder === this.options.holder) return true;
    const { durationMs, marginMs } = this.options;
    return !!this.lastTail && computeMinElapsedMs(this.lastTail.seenAt) > durationMs + marginMs;
  }
}
