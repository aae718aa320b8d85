import type { TrackedUpstream } from '../fleet/index.js';
import type { ServiceName, UpstreamId } from '../ids.js';
import {
  ANNOUNCED_LIMIT_HOLD_MS,
  MAX_ENFORCED_LIMIT,
  MAX_REJECTION_PAUSE_MS,
  MIN_REJECTION_PAUSE_MS,
  SAVED_REQUESTS_PER_SLOT,
  SPARE_LOAD_FRACTION,
  UNKNOWN_RUN_MS,
  USED_SLOT_FRACTION,
  USED_LIMIT_FRACTION,
} from './constants.js';

/** The part of an upstream's state that the limits read. */
export type LimitedUpstream = Pick<
  TrackedUpstream,
  'upstreamId' | 'registered' | 'inFlight' | 'estimateLoad'
>;

/** A change of the limit of a service's upstreams. */
export interface RejectionLimitChange {
  readonly service: ServiceName;
  /** Undefined if no limit was in force. */
  readonly previous: number | undefined;
  /** Undefined if no limit is in force any more. */
  readonly rejectionsPerSecond: number | undefined;
}

/** Dependencies of the limits. */
export interface RejectionLimitsOptions {
  /** Counts the VMs that may send requests; undefined while this VM may not know of all. */
  readonly countSenders: () => number | undefined;
  /** Finds the mean time of the requests of a service, in milliseconds. */
  readonly findMeanRunMs: (service: ServiceName) => number | undefined;
  readonly onChange?: (change: RejectionLimitChange) => void;
}

interface TokenBucket {
  tokens: number;
  refilledAtMs: number;
}

interface ServiceLimit {
  rejectionsPerSecond: number;
  /** Monotonic time at which this or a lower number was last announced. */
  numberAtMs: number;
  /** Monotonic time of the last announcement of any number. */
  announcedAtMs: number;
}

/**
 * Keeps the requests that upstreams have to reject for want of room within the number a second at
 * which they fail, as they announced it. Each VM has its part of the slots in flight, or sends its
 * part of what they serve where there are more VMs than slots; a VM that is rejected leaves the upstream
 * alone for as long as its part of the rejections takes.
 */
export class RejectionLimits {
  private readonly limits = new Map<ServiceName, ServiceLimit>();

  /** Monotonic times before which this VM sends nothing to upstreams that rejected its requests. */
  private readonly pausedUntilMs = new Map<UpstreamId, number>();

  private readonly buckets = new Map<UpstreamId, TokenBucket>();

  constructor(private readonly options: RejectionLimitsOptions) {}

  /**
   * Records what a response of a service announced.
   *
   * @param rejectionsPerSecond undefined if it announced no limit
   */
  record(service: ServiceName, rejectionsPerSecond: number | undefined): void {
    const nowMs = performance.now();
    const known = this.limits.get(service);
    const isLimit = rejectionsPerSecond !== undefined && rejectionsPerSecond <= MAX_ENFORCED_LIMIT;
    if (!isLimit) {
      if (known && nowMs - known.announcedAtMs > ANNOUNCED_LIMIT_HOLD_MS) this.removeLimit(service);
      return;
    }
    const isHigher = known !== undefined && rejectionsPerSecond > known.rejectionsPerSecond;
    if (isHigher && nowMs - known.numberAtMs <= ANNOUNCED_LIMIT_HOLD_MS) {
      known.announcedAtMs = nowMs;
      return;
    }
    this.limits.set(service, { rejectionsPerSecond, numberAtMs: nowMs, announcedAtMs: nowMs });
    this.reportChange(service, known?.rejectionsPerSecond, rejectionsPerSecond);
  }

  /** Records that an upstream rejected a request of this VM, which it did not run. */
  recordRejection({ upstreamId, registered }: LimitedUpstream): void {
    const limit = this.limits.get(registered.service);
    if (limit) this.pausedUntilMs.set(upstreamId, performance.now() + this.computePauseMs(limit));
  }

  /** Whether this VM sends an upstream nothing, because it rejected a request; other VMs may send. */
  isPaused({ upstreamId, registered }: LimitedUpstream): boolean {
    const untilMs = this.pausedUntilMs.get(upstreamId);
    if (untilMs === undefined) return false;
    if (performance.now() < untilMs && this.limits.has(registered.service)) return true;
    this.pausedUntilMs.delete(upstreamId);
    return false;
  }

  /** Whether an upstream has no limit, or one more request will find room there. */
  hasRoom(upstream: LimitedUpstream): boolean {
    if (!this.limits.has(upstream.registered.service)) return true;
    const slots = Math.max(1, upstream.registered.slots);
    const load = upstream.estimateLoad();
    if (load >= slots) return false;
    const senders = this.options.countSenders();
    if (senders === undefined) return upstream.inFlight === 0;
    if (senders > slots) return this.refillBucket(upstream, senders).tokens >= 1;
    // What the others leave unused may be used, as long as there is plenty.
    const share =
      Math.ceil(slots / Math.max(1, senders)) + (load < slots * SPARE_LOAD_FRACTION ? 1 : 0);
    return upstream.inFlight < share;
  }

  /**
   * Whether more VMs send to an upstream than it has slots. All of them would choose the one that had
   * the least load when they last heard of it.
   */
  isCrowded({ registered: { service, slots } }: LimitedUpstream): boolean {
    return this.limits.has(service) && (this.options.countSenders() ?? 0) > slots;
  }

  /** Records that a request is being sent to an upstream. */
  recordSend(upstream: LimitedUpstream): void {
    const bucket = this.buckets.get(upstream.upstreamId);
    if (bucket) bucket.tokens -= 1;
  }

  /** Forgets an upstream that has left. */
  remove(upstreamId: UpstreamId): void {
    this.pausedUntilMs.delete(upstreamId);
    this.buckets.delete(upstreamId);
  }

  private removeLimit(service: ServiceName): void {
    const known = this.limits.get(service);
    this.limits.delete(service);
    if (known) this.reportChange(service, known.rejectionsPerSecond, undefined);
  }

  /** Where there are more VMs than slots, each may send its part of what the slots serve. */
  private refillBucket({ upstreamId, registered }: LimitedUpstream, senders: number): TokenBucket {
    const nowMs = performance.now();
    const bucket = this.buckets.get(upstreamId) ?? { tokens: 1, refilledAtMs: nowMs };
    this.buckets.set(upstreamId, bucket);
    const runMs = this.options.findMeanRunMs(registered.service) ?? UNKNOWN_RUN_MS;
    const tokensPerMs = (USED_SLOT_FRACTION * registered.slots) / Math.max(1, runMs) / senders;
    const added = (nowMs - bucket.refilledAtMs) * tokensPerMs;
    const capacity = Math.max(1, (SAVED_REQUESTS_PER_SLOT * registered.slots) / senders);
    bucket.tokens = Math.min(capacity, bucket.tokens + added);
    bucket.refilledAtMs = nowMs;
    return bucket;
  }

  /** Each VM may be rejected once in this time. */
  private computePauseMs({ rejectionsPerSecond }: ServiceLimit): number {
    const senders = this.options.countSenders() ?? Infinity;
    const shareMs = (1_000 * senders) / (rejectionsPerSecond * USED_LIMIT_FRACTION);
    return Math.min(MAX_REJECTION_PAUSE_MS, Math.max(MIN_REJECTION_PAUSE_MS, shareMs));
  }

  private reportChange(
    service: ServiceName,
    previous: number | undefined,
    rejectionsPerSecond: number | undefined,
  ): void {
    if (previous === rejectionsPerSecond) return;
    this.options.onChange?.({ service, previous, rejectionsPerSecond });
  }
}
