import type { UpstreamId } from '../ids.js';

/** Circuit breaker state; `half-open` admits a single request as a probe. */
export type BreakerState = 'closed' | 'open' | 'half-open';

/** Why an upstream is ejected, or why its ejection ends. */
export type EjectionReason =
  | 'consecutive failures'
  | 'failure rate'
  | 'failed probe'
  | 'recovered'
  /** The group has shrunk, and may have fewer ejected members. */
  | 'group too small'
  /** It has left its group: it leaves, is not listed any more, or another process has its id. */
  | 'left';

/** An upstream was ejected, stays ejected after a failed probe, was taken back, or has left. */
export interface EjectionChange {
  readonly upstreamId: UpstreamId;
  readonly group: string;
  readonly isEjected: boolean;
  readonly reason: EjectionReason;
  readonly consecutiveFailures: number;
  /** Time until the next probe, in milliseconds; 0 if it is not ejected any more. */
  readonly openMs: number;
}

/** An ejected upstream, as operators see it. */
export interface EjectedUpstream {
  readonly upstreamId: UpstreamId;
  readonly group: string;
  readonly state: BreakerState;
  /** Why it was ejected; probes that failed since then don't change it. */
  readonly reason: EjectionReason;
  /** Time since it was ejected, in milliseconds. */
  readonly ejectedMs: number;
  /** Time until the next probe, in milliseconds. */
  readonly openMs: number;
  readonly consecutiveFailures: number;
  /** Probes that failed since it was ejected. */
  readonly failedProbes: number;
}

/** Decides which upstreams are ejected because of failures. */
export abstract class EjectionPolicy {
  /** Assigns an upstream to a group of interchangeable upstreams, for example those of a model. */
  abstract setGroup(upstreamId: UpstreamId, group: string): void;

  /** Removes an upstream that no longer exists; ends its ejection. */
  abstract remove(upstreamId: UpstreamId): void;

  /** Returns the breaker state of an upstream, which determines its eligibility. */
  abstract getState(upstreamId: UpstreamId): BreakerState;

  /** Records the start of an attempt; the first one at a half-open upstream is the probe. */
  abstract recordStart(upstreamId: UpstreamId): void;

  /**
   * Records the outcome of an attempt; `neutral` is neither success nor failure of the upstream.
   */
  abstract recordOutcome(upstreamId: UpstreamId, outcome: 'success' | 'failure' | 'neutral'): void;
}
