import type { ModelId, WeightNumber } from '../ids.js';
import type { OperatorState } from '../deployment/index.js';
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
  private provedAtMs = -Infinity;

  constructor(private readonly operators: OperatorState) {}

  /** Notes a time at which every change of the operators until then was known. */
  noteProved(atMs: number): void {
    this.provedAtMs = Math.max(this.provedAtMs, atMs);
  }

  /** Gives the time that a fetch of blocks of these weights may take from now, in milliseconds. */
  computeFetchMs(model: ModelId, weights: WeightNumber): number {
    const wanted = this.operators.findWeights(model);
    const isOutdated = wanted !== undefined && wanted.wanted > weights;
    const fromMs = isOutdated ? Math.min(this.provedAtMs, wanted.learnedAtMs) : this.provedAtMs;
    return Math.max(0, fromMs + FETCH_HORIZON_MS - performance.now());
  }

  /** Tells whether blocks under a salt may be freed now. */
  canFree(salt: string): boolean {
    const identity = parseCacheSalt(salt);
    const wanted = identity && this.operators.findWeights(identity.model);
    if (!wanted || identity.weights >= wanted.wanted) return false;
    return performance.now() - wanted.learnedAtMs > FETCH_HORIZON_MS + FREE_MARGIN_MS;
  }
}
