import type { UpstreamId, VmId } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';

const SECOND_MS = 1_000;

/** Bound on what a cold upstream gets from the whole fleet. */
export interface ColdBound {
  /** Requests a second that the service's cold upstreams bear. */
  readonly requestsPerSecond: number;
  /** Factor on the rate that is still within the bound. */
  readonly overrun: number;
  /** Requests above the rate that are still within the bound, in any one second. */
  readonly slack: number;
}

/** What a VM needs to know of the fleet to find its share. */
export interface ColdShareInput {
  readonly self: VmId;
  /** Every VM that may send, dead ones of a moment ago included. */
  readonly sharing: readonly VmId[];
  readonly upstreamId: UpstreamId;
  readonly bound: ColdBound;
}

/** What one VM may send to one cold upstream. */
export interface ColdShare {
  /** Requests at once. */
  readonly burst: number;
  readonly requestsPerSecond: number;
}

const NO_SHARE: ColdShare = { burst: 0, requestsPerSecond: 0 };

/** Part of the bound that is used, so that one VM's late delivery stays within it. */
const USED_SHARE = 0.7;

/**
 * Computes one VM's share of a cold upstream. No message is needed: at most as many VMs as the
 * bound allows requests a second may send, chosen by rendezvous over the upstream.
 */
export const computeColdShare = (input: ColdShareInput): ColdShare => {
  const { bound, sharing, self, upstreamId } = input;
  const allowed = (bound.requestsPerSecond * bound.overrun + bound.slack) * USED_SHARE;
  const senders = Math.min(Math.max(1, sharing.length), Math.floor(allowed / 2));
  if (senders < 1) return NO_SHARE;
  const ranked = rankByRendezvous(upstreamId, sharing).slice(0, senders);
  if (sharing.length > 0 && !ranked.includes(self)) return NO_SHARE;
  return { burst: 1, requestsPerSecond: (allowed - senders) / senders };
};

interface Bucket {
  tokens: number;
  refilledAtMs: number;
}

/** Keeps this VM within its share of each cold upstream: one token bucket an upstream. */
export class ColdStartBudget {
  private readonly buckets = new Map<UpstreamId, Bucket>();

  /** Tells whether a request may go to the upstream now, without taking the right. */
  canTake(upstreamId: UpstreamId, share: ColdShare): boolean {
    return this.updateBucket(upstreamId, share).tokens >= 1;
  }

  /** Takes the right to send one request. */
  tryTake(upstreamId: UpstreamId, share: ColdShare): boolean {
    const bucket = this.updateBucket(upstreamId, share);
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }

  private updateBucket(upstreamId: UpstreamId, share: ColdShare): Bucket {
    const nowMs = performance.now();
    const bucket = this.buckets.get(upstreamId) ?? { tokens: share.burst, refilledAtMs: nowMs };
    this.buckets.set(upstreamId, bucket);
    const gained = ((nowMs - bucket.refilledAtMs) / SECOND_MS) * share.requestsPerSecond;
    bucket.tokens = Math.min(share.burst, bucket.tokens + gained);
    bucket.refilledAtMs = nowMs;
    return bucket;
  }
}
