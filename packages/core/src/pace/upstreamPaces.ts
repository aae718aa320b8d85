import type { TrackedUpstream } from '../fleet/index.js';
import type { ServiceName, UpstreamId } from '../ids.js';
import { KNOWN_UPSTREAMS_MS } from './constants.js';
import { MeanLoad } from './meanLoad.js';
import type { PaceSenders, UpstreamPace } from './upstreamPace.js';
import { UpstreamSighting } from './upstreamSighting.js';
import type { SightingOptions } from './upstreamSighting.js';

/** A pace has begun, or has ended. */
export interface PaceChange {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceName;
  readonly isPaced: boolean;
  /** Requests in flight that all VMs together may have at the upstream. */
  readonly requests: number;
}

/** Dependencies of the paces. */
export interface UpstreamPacesOptions {
  /** Finds the place of this VM among those that send to an upstream. */
  readonly findSenders: (upstreamId: UpstreamId) => PaceSenders;
  readonly onChange?: ((change: PaceChange) => void) | undefined;
}

/**
 * Paces of the upstreams that have just started, or get requests again. One mechanism for all causes:
 * what counts is that an upstream is another process, or that it was out for a while.
 *
 * Designed for many upstreams that come back at once and many VMs that each send a little: an upstream
 * with nothing in flight is the best choice of all VMs at the same moment.
 */
export class UpstreamPaces {
  private readonly sightings = new WeakMap<TrackedUpstream, UpstreamSighting>();

  private readonly meanLoads = new Map<ServiceName, MeanLoad>();

  private readonly sightingOptions: SightingOptions;

  constructor({ findSenders, onChange }: UpstreamPacesOptions) {
    this.sightingOptions = {
      findSenders: ({ upstreamId }) => findSenders(upstreamId),
      onChange({ registered: { upstreamId, service } }, { requests }, isPaced) {
        onChange?.({ upstreamId, service, isPaced, requests });
      },
    };
  }

  /**
   * Looks at all upstreams of a service, before each choice among them.
   *
   * @param isOut whether an upstream gets no requests now, whatever the request
   */
  observe(
    upstreams: readonly TrackedUpstream[],
    isOut: (upstream: TrackedUpstream) => boolean,
  ): void {
    const first = upstreams[0];
    if (!first?.speed.isCompared) return;
    const meanLoad = this.requireMeanLoad(first.registered.service);
    const getMeanLoad = (): number =>
      meanLoad.get(() =>
        upstreams.filter((upstream) => this.sightings.get(upstream)?.isCarrying ?? false),
      );
    // To a VM that has just started, all upstreams are new, and only the cold ones known to be.
    const areKnown = performance.now() - meanLoad.createdAtMs < KNOWN_UPSTREAMS_MS;
    upstreams.forEach((upstream) => {
      let sighting = this.sightings.get(upstream);
      if (!sighting) {
        sighting = new UpstreamSighting(upstream, this.sightingOptions);
        this.sightings.set(upstream, sighting);
        if (!areKnown || upstream.isCold) sighting.begin();
      }
      sighting.observe(isOut(upstream), getMeanLoad);
    });
  }

  /** Whether an upstream has no pace, or this VM may send one more request under it. */
  canTake(upstream: TrackedUpstream): boolean {
    return this.find(upstream)?.canTake ?? true;
  }

  /** Finds the pace of an upstream; undefined if it has none. */
  find(upstream: TrackedUpstream): UpstreamPace | undefined {
    return this.sightings.get(upstream)?.pace;
  }

  private requireMeanLoad(service: ServiceName): MeanLoad {
    const meanLoad = this.meanLoads.get(service) ?? new MeanLoad();
    this.meanLoads.set(service, meanLoad);
    return meanLoad;
  }
}
