import type { ModelId, WeightNumber } from '../ids.js';
import type { OperatorState } from '../deployment/index.js';
import { computeLongestElapsed, computeShortestElapsed } from '../lease/index.js';
import type { Moment } from '../lease/index.js';
import { parseCacheSalt } from './cacheSalt.js';

/**
 * Longest time between a read of the operators' records that named no newer weights and the end
 * of a fetch of older blocks, in milliseconds.
 */
export const FETCH_HORIZON_MS = 3_000;

/** Time after the horizon before blocks are freed, for clocks that run unevenly, in milliseconds. */
const FREE_MARGIN_MS = 300;

/**
 * Lets blocks of outdated weights be freed while no VM can be fetching them. A fetch ends before
 * the horizon counted from the last read that proves its weights current; a VM frees blocks only
 * when it has known of newer weights for longer. A VM that is cut off runs into its own horizon.
 */
export class FetchHorizon {
  private proved: Moment | undefined;

  constructor(private readonly operators: OperatorState) {}

  /** Notes a moment at which every change of the operators until then was known. */
  noteProved(at: Moment): void {
    this.proved = at;
  }

  /** Gives the time that a fetch of blocks of these weights may take from now, in milliseconds. */
  computeFetchMs(model: ModelId, weights: WeightNumber): number {
    if (!this.proved) return 0;
    const wanted = this.operators.findWeights(model);
    const isOutdated = wanted !== undefined && wanted.wanted > weights;
    // A suspended machine's monotonic clock stands still; the longest time that may have passed counts.
    const elapsedMs = Math.max(
      computeLongestElapsed(this.proved),
      isOutdated ? computeLongestElapsed(wanted.learnedAt) : 0,
    );
    return Math.max(0, FETCH_HORIZON_MS - elapsedMs);
  }

  /** Tells whether blocks under a salt may be freed now. */
  canFree(salt: string): boolean {
    const identity = parseCacheSalt(salt);
    const wanted = identity && this.operators.findWeights(identity.model);
    if (!wanted || identity.weights >= wanted.wanted) return false;
    return computeShortestElapsed(wanted.learnedAt) > FETCH_HORIZON_MS + FREE_MARGIN_MS;
  }
}
