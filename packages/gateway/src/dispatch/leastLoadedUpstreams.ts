import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RejectionLimits, TrackedUpstream } from '@goldcrestscale/core';
import type { PacedUpstreams } from './pacedUpstreams.js';

/** Dependencies of the choice. */
export interface LeastLoadedOptions {
  readonly rejectionLimits: RejectionLimits;
  readonly random: RandomGenerator;
}

/** Chooses upstreams for requests without a prompt. */
export class LeastLoadedUpstreams {
  constructor(
    private readonly options: LeastLoadedOptions,
    private readonly pacedUpstreams: PacedUpstreams,
  ) {}

  /**
   * Chooses the upstream with the least work for each of its slots; one under a pace only if it has
   * room, or if there is no other.
   */
  choose(eligible: readonly TrackedUpstream[]): TrackedUpstream | undefined {
    return (
      this.findLeastLoaded(this.pacedUpstreams.listOpen(eligible)) ?? this.findLeastLoaded(eligible)
    );
  }

  private findLeastLoaded(candidates: readonly TrackedUpstream[]): TrackedUpstream | undefined {
    const { rejectionLimits, random } = this.options;
    let best: TrackedUpstream | undefined;
    let leastLoad = Infinity;
    candidates.forEach((candidate) => {
      const isCrowded = rejectionLimits.isCrowded(candidate);
      const requests = (isCrowded ? 0 : candidate.estimateLoad()) + candidate.failureLoad.requests;
      const work = (requests + uniformFloat64(random)) * candidate.slowdown;
      const load = work / Math.max(1, candidate.registered.slots);
      if (load >= leastLoad) return;
      best = candidate;
      leastLoad = load;
    });
    return best;
  }
}
