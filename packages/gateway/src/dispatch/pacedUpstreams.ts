import type {
  EjectionPolicy,
  OperatorState,
  TrackedUpstream,
  UpstreamPaces,
} from '@goldcrestscale/core';

/** Dependencies of the selection. */
export interface PacedUpstreamsOptions {
  readonly paces: UpstreamPaces;
  readonly operators: OperatorState;
  readonly ejection: EjectionPolicy;
}

/** Leaves out upstreams that have just started or recovered, as long as their paces ask for it. */
export class PacedUpstreams {
  constructor(private readonly options: PacedUpstreamsOptions) {}

  /** Looks at all upstreams of a service, before each choice among them. */
  observe(upstreams: readonly TrackedUpstream[], loadingWeights: ReadonlySet<string>): void {
    this.options.paces.observe(upstreams, (upstream) => this.isOut(upstream, loadingWeights));
  }

  /** Lists the upstreams whose paces leave this VM room for a request. */
  listOpen(eligible: readonly TrackedUpstream[]): readonly TrackedUpstream[] {
    return eligible.filter((upstream) => this.options.paces.canTake(upstream));
  }

  /** Whether an upstream gets no requests now, whatever the request; a probe does not count. */
  private isOut(upstream: TrackedUpstream, loadingWeights: ReadonlySet<string>): boolean {
    const { ejection, operators } = this.options;
    const { upstreamId, registered } = upstream;
    return (
      upstream.isDown ||
      upstream.isLeaving ||
      loadingWeights.has(upstreamId) ||
      operators.isZoneOut(registered.availabilityZone) ||
      ejection.getState(upstreamId) !== 'closed'
    );
  }
}
