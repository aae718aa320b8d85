import type { UpstreamId, VmId } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';

const MS_PER_SECOND = 1_000;

/** Fleet-wide limit on requests to a cold upstream. */
export interface ColdStartLimit {
  /** Request rate that a cold upstream of the service can handle. */
  readonly requestsPerSecond: number;
  /** Multiple of the rate that is still within the limit. */
  readonly rateFactor: number;
  /** Additional requests in any one second that are still within the limit. */
  readonly extraRequests: number;
}

/** Inputs for the cold-start share of a VM. */
export interface ColdStartShareInput {
  readonly self: VmId;
  /**
   * All VMs that may send requests, including those that failed recently; undefined while this VM may
   * not know of all.
   */
  readonly sendingVms: readonly VmId[] | undefined;
  readonly upstreamId: UpstreamId;
  readonly limit: ColdStartLimit;
}

/** Rate limit of one VM for one cold upstream. */
export interface ColdStartShare {
  /** Token bucket capacity, in requests. */
  readonly burst: number;
  readonly requestsPerSecond: number;
}

const NO_SHARE: ColdStartShare = { burst: 0, requestsPerSecond: 0 };

/**
 * Fraction of the limit that is used, so that delayed delivery of one VM's requests stays within
 * it.
 */
const USED_FRACTION = 0.7;

/**
 * Computes one VM's share of the request limit of a cold upstream without coordination. The number
 * of sending VMs is capped at half the usable limit; they are chosen by rendezvous hashing over the
 * upstream.
 */
export const computeColdStartShare = (input: ColdStartShareInput): ColdStartShare => {
  const { limit, sendingVms, self, upstreamId } = input;
  if (!sendingVms) return NO_SHARE;
  const usableRequestsPerSecond =
    (limit.requestsPerSecond * limit.rateFactor + limit.extraRequests) * USED_FRACTION;
  const senderCount = Math.min(
    Math.max(1, sendingVms.length),
    Math.floor(usableRequestsPerSecond / 2),
  );
  if (senderCount < 1) return NO_SHARE;
  const ranked = rankByRendezvous(upstreamId, sendingVms).slice(0, senderCount);
  if (sendingVms.length > 0 && !ranked.includes(self)) return NO_SHARE;
  return { burst: 1, requestsPerSecond: (usableRequestsPerSecond - senderCount) / senderCount };
};

interface TokenBucket {
  tokens: number;
  refilledAtMs: number;
}

/** Enforces this VM's share of each cold upstream with one token bucket per upstream. */
export class ColdStartBudget {
  private readonly buckets = new Map<UpstreamId, TokenBucket>();

  /** Returns whether a token is available, without taking it. */
  canTake(upstreamId: UpstreamId, share: ColdStartShare): boolean {
    return this.refillBucket(upstreamId, share).tokens >= 1;
  }

  /** Takes the token for one request; false if none is available. */
  tryTake(upstreamId: UpstreamId, share: ColdStartShare): boolean {
    const bucket = this.refillBucket(upstreamId, share);
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }

  private refillBucket(upstreamId: UpstreamId, share: ColdStartShare): TokenBucket {
    const nowMs = performance.now();
    const bucket = this.buckets.get(upstreamId) ?? { tokens: share.burst, refilledAtMs: nowMs };
    this.buckets.set(upstreamId, bucket);
    const addedTokens = ((nowMs - bucket.refilledAtMs) / MS_PER_SECOND) * share.requestsPerSecond;
    bucket.tokens = Math.min(share.burst, bucket.tokens + addedTokens);
    bucket.refilledAtMs = nowMs;
    return bucket;
  }
}
