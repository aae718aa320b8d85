import type { UpstreamBoot } from '../fleet/index.js';

/** A VM's request to a granter for a permit to send one request to an upstream. */
export interface PermitRequest extends UpstreamBoot {
  /** Identifies it among the requests of the VM. */
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

/** A permit to send one request. */
export interface PermitGrant {
  /** Time until the request may be sent, in milliseconds. */
  readonly startsInMs: number;
  /** Time after which another permit may be granted, in milliseconds. */
  readonly nextAfterMs: number;
}

/** The answer to a request that can't be granted in time. */
export interface PermitDenial {
  /** Time after which another permit may be granted, in milliseconds. */
  readonly retryAfterMs: number;
}

export type PermitDecision = PermitGrant | PermitDenial;

/** A granter's reply to a request for a permit. */
export type PermitReply = PermitDecision & Pick<PermitRequest, 'id'>;
