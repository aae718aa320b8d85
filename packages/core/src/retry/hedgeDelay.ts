import {
  MIN_HEDGE_DELAY_MS,
  HEDGE_QUANTILE,
  HEDGE_SAMPLE_COUNT,
  MIN_HEDGE_SAMPLES,
} from './constants.js';

/** Computes the hedge delay of lookups from a quantile of recent latencies. */
export class HedgeDelay {
  private readonly latenciesMs: number[] = [];

  private nextIndex = 0;

  /** Records the latency of an answered lookup, in milliseconds. */
  recordLatency(latencyMs: number): void {
    this.latenciesMs[this.nextIndex] = latencyMs;
    this.nextIndex = (this.nextIndex + 1) % HEDGE_SAMPLE_COUNT;
  }

  /** Returns the delay before a hedge; undefined until there are enough samples. */
  computeDelayMs(): number | undefined {
    const count = this.latenciesMs.length;
    if (count < MIN_HEDGE_SAMPLES) return undefined;
    const sorted = [...this.latenciesMs].sort((left, right) => left - right);
    const index = Math.min(count - 1, Math.floor(count * HEDGE_QUANTILE));
    return Math.max(MIN_HEDGE_DELAY_MS, sorted[index] ?? 0);
  }
}
