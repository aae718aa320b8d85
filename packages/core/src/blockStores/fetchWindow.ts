import type { ModelId, WeightNumber } from '../ids.js';
import type { OperatorState } from '../deployment/index.js';
import { computeMaxElapsedMs, computeMinElapsedMs } from '../lease/index.js';
import type { ClockReading } from '../lease/index.js';
import { parseCacheSalt } from './cacheSalt.js';
import { CLOCK_DRIFT_MARGIN_MS, FETCH_WINDOW_MS } from './constants.js';

/** Lower than any weight number that an operator can configure. */
const NO_WANTED_WEIGHTS = 0;

/** Confirmations of superseded weights kept per model; older ones are past the fetch window. */
const MAX_CONFIRMATIONS = 4;

/** Last time at which weights that are superseded by now were confirmed as the newest. */
interface SupersededConfirmation {
  readonly wanted: number;
  readonly confirmedAt: ClockReading;
}

/**
 * Ensures that blocks of superseded weights are freed only when no VM can still be fetching them.
 * Every fetch ends within the fetch window, which starts at the last read that confirmed its
 * weights as current. A VM frees blocks only after it has known of newer weights for longer than
 * the window plus a margin. The window of a partitioned VM expires on its own.
 */
export class FetchWindow {
  private confirmedAt: ClockReading | undefined;

  /** Newest weights of each model as of the last read. */
  private wanted = new Map<ModelId, number>();

  /** Last confirmations of superseded weights by model, in chronological order. */
  private readonly supersededConfirmations = new Map<ModelId, SupersededConfirmation[]>();

  constructor(private readonly operators: OperatorState) {}

  /** Records a moment up to which all operator changes are known. */
  recordConfirmation(confirmedAt: ClockReading): void {
    const wanted = new Map(this.operators.listWeights().map((one) => [one.model, one.wanted]));
    wanted.forEach((newest, model) => this.recordSuperseded(model, newest));
    this.wanted = wanted;
    this.confirmedAt = confirmedAt;
  }

  /** Computes how long a fetch of blocks of these weights may take from now, in milliseconds. */
  computeMaxFetchMs(model: ModelId, weights: WeightNumber): number {
    const confirmedAt = this.findLastConfirmation(model, weights);
    // The monotonic clock stops while the machine is suspended, so assume the longest elapsed time.
    return confirmedAt ? Math.max(0, FETCH_WINDOW_MS - computeMaxElapsedMs(confirmedAt)) : 0;
  }

  /** Finds the last read at which no newer weights were configured. */
  private findLastConfirmation(model: ModelId, weights: WeightNumber): ClockReading | undefined {
    if (weights >= this.getWanted(model)) return this.confirmedAt;
    return this.supersededConfirmations.get(model)?.findLast(({ wanted }) => wanted <= weights)
      ?.confirmedAt;
  }

  private getWanted(model: ModelId): number {
    return this.wanted.get(model) ?? NO_WANTED_WEIGHTS;
  }

  private recordSuperseded(model: ModelId, newest: number): void {
    const wanted = this.getWanted(model);
    if (newest <= wanted || !this.confirmedAt) return;
    const confirmations = this.supersededConfirmations.get(model) ?? [];
    this.supersededConfirmations.set(
      model,
      [...confirmations, { wanted, confirmedAt: this.confirmedAt }].slice(-MAX_CONFIRMATIONS),
    );
  }

  /** Returns whether blocks with this salt may be freed now. */
  canFree(salt: string): boolean {
    const namespace = parseCacheSalt(salt);
    const wanted = namespace && this.operators.findWeights(namespace.model);
    if (!wanted || namespace.weights >= wanted.wanted) return false;
    return computeMinElapsedMs(wanted.learnedAt) > FETCH_WINDOW_MS + CLOCK_DRIFT_MARGIN_MS;
  }
}
