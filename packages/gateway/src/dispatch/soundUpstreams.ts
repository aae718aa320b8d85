import type {
  EjectionPolicy,
  OperatorState,
  ServiceName,
  TrackedUpstream,
  UpstreamRegistry,
} from '@goldcrestscale/core';

/** Dependencies of the search. */
export interface SoundUpstreamsOptions {
  readonly registry: UpstreamRegistry;
  readonly operators: OperatorState;
  readonly ejection: EjectionPolicy;
}

/** Knows whether a service has an upstream that is not ejected and may serve. */
export class SoundUpstreams {
  /** The last one found, as a choice asks again for each ejected upstream. */
  private readonly known = new Map<ServiceName, TrackedUpstream>();

  constructor(private readonly options: SoundUpstreamsOptions) {}

  has(service: ServiceName): boolean {
    const known = this.known.get(service);
    if (known && this.isSound(known, service)) return true;
    const found = this.options.registry
      .listService(service)
      .find((upstream) => this.isSound(upstream, service));
    if (found) this.known.set(service, found);
    else this.known.delete(service);
    return found !== undefined;
  }

  private isSound(upstream: TrackedUpstream, service: ServiceName): boolean {
    const { registry, operators, ejection } = this.options;
    const { upstreamId, registered } = upstream;
    return (
      registry.find(upstreamId) === upstream &&
      registered.service === service &&
      !upstream.isLeaving &&
      !upstream.isBusy &&
      !upstream.lacksConnection &&
      !operators.isZoneOut(registered.availabilityZone) &&
      ejection.getState(upstreamId) === 'closed'
    );
  }
}
