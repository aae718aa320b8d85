import { FIRST_STREAM_ERA } from './leaseStream.js';
import type { LeaseStreamPosition, LeaseStreamTail, LeaseStream } from './leaseStream.js';
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
  readonly era: number;
  readonly requestedAt: ClockReading;
}

/** Offsets of one era; tokens of a later era are always higher. */
const OFFSETS_PER_ERA = 2 ** 32;

const computeFencingToken = ({ era, offset }: LeaseStreamPosition): number =>
  (era - FIRST_STREAM_ERA) * OFFSETS_PER_ERA + offset + 1;

/**
 * A lease acquired by a conditional append at the end of a stream. Only one append succeeds at an
 * offset, and its sender becomes the holder; the fencing token derives from era and offset. Other
 * candidates wait until the newest record has stayed unchanged for longer than the lease duration.
 * After a change of era, the newest record may be lost, so everyone without a valid grant waits as
 * long from the moment at which the era was first seen.
 */
export class ConditionalLease {
  private grant: TimedGrant | undefined;

  private currentEra: { readonly era: number; readonly seenAt: ClockReading } | undefined;

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
    const position = await stream.appendAt(tail.endOffset, holder, signal);
    if (!position) return undefined;
    // The record was appended to another copy than the one that was read.
    if (position.era !== tail.era) return undefined;
    this.grant = { fencingToken: computeFencingToken(position), era: position.era, requestedAt };
    return this.currentGrant;
  }

  private async readTail(signal: AbortSignal): Promise<LeaseStreamTail> {
    const tail = await this.options.stream.read(signal);
    if (this.currentEra?.era !== tail.era) {
      this.currentEra = { era: tail.era, seenAt: readClocks() };
      this.lastTail = undefined;
    }
    if (this.lastTail?.endOffset !== tail.endOffset)
      this.lastTail = { endOffset: tail.endOffset, seenAt: readClocks() };
    return tail;
  }

  private canAcquire({ holder, era }: LeaseStreamTail): boolean {
    const isOwn = holder === this.options.holder;
    // While this grant is valid, nobody else acquires the lease, also if its record is lost.
    if (this.currentGrant && (isOwn || this.grant?.era !== era)) return true;
    if (era !== FIRST_STREAM_ERA && !this.hasOutlasted(this.currentEra?.seenAt)) return false;
    if (holder === undefined || isOwn) return true;
    return this.hasOutlasted(this.lastTail?.seenAt);
  }

  /** Whether every grant from before a moment has expired. */
  private hasOutlasted(seenAt: ClockReading | undefined): boolean {
    const { durationMs, marginMs } = this.options;
    return seenAt !== undefined && computeMinElapsedMs(seenAt) > durationMs + marginMs;
  }
}
