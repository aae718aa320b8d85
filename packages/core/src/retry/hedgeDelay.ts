import {
  HEDGE_DELAY_MIN_MS,
  HEDGE_QUANTILE,
  HEDGE_SAMPLES,
  HEDGE_SAMPLES_MIN,
} from './constants.js';

/** Learns after which wait a look-up is slower than nearly all others. */
export class HedgeDelay {
  private readonly latencies: number[] = [];

  private position = 0;

  /** Takes in the latency of an answered look-up, in milliseconds. */
  observe(latencyMs: number): void {
    this.latencies[this.position] = latencyMs;
    this.position = (this.position + 1) % HEDGE_SAMPLES;
  }

  /** Gives the wait before a hedge; undefined before enough look-ups have been answered. */
  computeMs(): number | undefined {
    const count = this.latencies.length;
    if (count < HEDGE_SAMPLES_MIN) return undefined;
    const sorted = [...this.latencies].sort((left, right) => left - right);
    const index = Math.min(count - 1, Math.floor(count * HEDGE_QUANTILE));
    return Math.max(HEDGE_DELAY_MIN_MS, sorted[index] ?? 0);
  }
}
