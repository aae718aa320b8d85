import type { UpstreamId } from '../ids.js';

/** Whether an upstream gets work: all, none, or one request as a probe. */
export type BreakerState = 'closed' | 'open' | 'half-open';

/** Decides which upstreams are ejected for their failures. */
export abstract class EjectionPolicy {
  /** Sets the group, for example a model, whose upstreams stand in for one another. */
  abstract setGroup(upstreamId: UpstreamId, group: string): void;

  /** Forgets an upstream that is gone. */
  abstract remove(upstreamId: UpstreamId): void;

  /** Gives the state by which an upstream is eligible or not. */
  abstract getState(upstreamId: UpstreamId): BreakerState;

  /** Notes that an attempt is sent; the first one at a half-open upstream is its probe. */
  abstract noteStart(upstreamId: UpstreamId): void;

  /** Notes how an attempt ended; `neutral` says nothing of the upstream. */
  abstract noteEnd(upstreamId: UpstreamId, outcome: 'success' | 'failure' | 'neutral'): void;
}
