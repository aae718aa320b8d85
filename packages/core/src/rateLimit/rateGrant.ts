import type { UpstreamBoot } from '../fleet/index.js';

/** A VM's question to a granter whether it may send one request to an upstream. */
export interface RateAsk extends UpstreamBoot {
  /** Identifies the ask among those of the VM. */
  readonly id: number;
  /** Announced rate as known to the VM, in requests per second. */
  readonly requestsPerSecond: number;
  /** Time since the response with that announcement, in milliseconds. */
  readonly announcedAgeMs: number;
  /** Time for which the request can wait, in milliseconds. */
  readonly maxWaitMs: number;
  /** Class of the request; 0 is the most urgent. */
  readonly priority: number;
}

/** The right to send one request. */
export interface RateGrant {
  /** Time until the request may be sent, in milliseconds. */
  readonly startsInMs: number;
  /** Time after which another ask may be granted, in milliseconds. */
  readonly nextAfterMs: number;
}

/** The answer to an ask that can't be granted in time. */
export interface RateDenial {
  /** Time after which another ask may be granted, in milliseconds. */
  readonly retryAfterMs: number;
}

export type RateDecision = RateGrant | RateDenial;

/** A granter's reply to an ask. */
export type RateReply = RateDecision & Pick<RateAsk, 'id'>;
