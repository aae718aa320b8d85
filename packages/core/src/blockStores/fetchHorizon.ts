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

/** Below every number that operators name. */
const NONE_WANTED = 0;

/** Changes of a model's weights whose last proofs are kept; older ones are over the horizon. */
const KEPT_PROOFS = 4;

/** When weights were the newest for the last time. */
interface OutdatedProof {
  readonly wanted: number;
  readonly at: Moment;
}

/**
 * Lets blocks of outdated weights be freed while no VM can be fetching them. A fetch ends before
 * the horizon counted from the last read that proves its weights current; a VM frees blocks only
 * when it has known of newer weights for longer. A VM that is cut off runs into its own horizon.
 */
export class FetchHorizon {
  private proved: Moment | undefined;

  /** Newest weights of each model at the last read. */
  private wanted = new Map<ModelId, number>();

  /** Last reads at which weights that are outdated now were the newest, the latest last. */
  private readonly outdated = new Map<ModelId, OutdatedProof[]>();

  constructor(private readonly operators: OperatorState) {}

  /** Notes a moment at which every change of the operators until then was known. */
  noteProved(at: Moment): void {
    const wanted = new Map(this.operators.listWeights().map((one) => [one.model, one.wanted]));
    wanted.forEach((newest, model) => this.saveOutdated(model, newest));
    this.wanted = wanted;
    this.proved = at;
  }

  /** Gives the time that a fetch of blocks of these weights may take from now, in milliseconds. */
  computeFetchMs(model: ModelId, weights: WeightNumber): number {
    const proof = this.findProof(model, weights);
    // A suspended machine's monotonic clock stands still; the longest time that may have passed counts.
    return proof ? Math.max(0, FETCH_HORIZON_MS - computeLongestElapsed(proof)) : 0;
  }

  /** Finds the last read at which no newer weights were named. */
  private findProof(model: ModelId, weights: WeightNumber): Moment | undefined {
    if (weights >= this.getWanted(model)) return this.proved;
    return this.outdated.get(model)?.findLast(({ wanted }) => wanted <= weights)?.at;
  }

  private getWanted(model: ModelId): number {
    return this.wanted.get(model) ?? NONE_WANTED;
  }

  private saveOutdated(model: ModelId, newest: number): void {
    const wanted = this.getWanted(model);
    if (newest <= wanted || !this.proved) return;
    const proofs = this.outdated.get(model) ?? [];
    this.outdated.set(model, [...proofs, { wanted, at: this.proved }].slice(-KEPT_PROOFS));
  }

  /** Tells whether blocks under a salt may be freed now. */
  canFree(salt: string): boolean {
    const identity = parseCacheSalt(salt);
    const wanted = identity && this.operators.findWeights(identity.model);
    if (!wanted || identity.weights >= wanted.wanted) return false;
    return computeShortestElapsed(wanted.learnedAt) > FETCH_HORIZON_MS + FREE_MARGIN_MS;
  }
}
