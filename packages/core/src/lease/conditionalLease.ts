import type { LeaseReading, LeaseStream } from './leaseStream.js';
import { computeLongestElapsed, computeShortestElapsed, getNow } from './elapsedTime.js';
import type { Moment } from './elapsedTime.js';

/** The right to act, held until it lapses. */
export interface FencedHold {
  /** Grows with each hold and renewal over the whole fleet. */
  readonly fencingToken: number;
}

/** How a conditional lease is made. */
export interface ConditionalLeaseOptions {
  /** Names this run of this VM. */
  readonly holder: string;
  readonly stream: LeaseStream;
  /** Time for which a hold lasts, counted from before its append was sent, in milliseconds. */
  readonly durationMs: number;
  /** Time by which the holder stops before the end of the lease, in milliseconds. */
  readonly marginMs: number;
}

interface Hold extends FencedHold {
  readonly since: Moment;
}

/**
 * A lease that is taken by an append at the end of a stream. The append that wins a position is
 * the only holder; its offset is the fencing token. Others wait until they have seen the same
 * record for longer than the lease lasts.
 */
export class ConditionalLease {
  private hold: Hold | undefined;

  private seen: { readonly end: number; readonly at: Moment } | undefined;

  constructor(private readonly options: ConditionalLeaseOptions) {}

  /** Gives the hold if it lasts at this moment; ask again after each await. */
  get held(): FencedHold | undefined {
    const { durationMs, marginMs } = this.options;
    if (!this.hold) return undefined;
    return computeLongestElapsed(this.hold.since) < durationMs - marginMs ? this.hold : undefined;
  }

  /** Tells whether more than half of the hold has passed. */
  get isDue(): boolean {
    const { durationMs } = this.options;
    return !this.hold || computeLongestElapsed(this.hold.since) > durationMs / 2;
  }

  /** Takes note of who holds the lease, so that its end is known in time. */
  async watch(signal: AbortSignal): Promise<void> {
    await this.observe(signal);
  }

  /** Takes or renews the lease; a failed try leaves the present hold to lapse. */
  async acquire(signal: AbortSignal): Promise<FencedHold | undefined> {
    const reading = await this.observe(signal);
    if (!this.canTake(reading)) return undefined;
    const since = getNow();
    const { stream, holder } = this.options;
    const offset = await stream.appendAt(reading.end, holder, signal);
    if (offset === undefined) return undefined;
    this.hold = { fencingToken: offset + 1, since };
    return this.held;
  }

  private async observe(signal: AbortSignal): Promise<LeaseReading> {
    const reading = await this.options.stream.read(signal);
    if (this.seen?.end !== reading.end) this.seen = { end: reading.end, at: getNow() };
    return reading;
  }

  private canTake({ holder }: LeaseReading): boolean {
    if (holder === undefined || holder === this.options.holder) return true;
    const { durationMs, marginMs } = this.options;
    return !!this.seen && computeShortestElapsed(this.seen.at) > durationMs + marginMs;
  }
}
