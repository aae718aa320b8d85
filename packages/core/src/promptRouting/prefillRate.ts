import {
  MAX_PREFILL_TOKENS_PER_MS,
  MIN_PREFILL_TOKENS_PER_MS,
  MIN_PREFILL_SAMPLE_TOKENS,
  INITIAL_PREFILL_TOKENS_PER_MS,
} from './constants.js';

/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.03;

/** Estimates the prefill rate of the engines from the first-byte latency of long prompts. */
export class PrefillRate {
  private averageTokensPerMs = INITIAL_PREFILL_TOKENS_PER_MS;

  get tokensPerMs(): number {
    return this.averageTokensPerMs;
  }

  /**
   * @param tokens tokens prefilled before the first byte, including prompts queued ahead
   * @param elapsedMs time from the dispatch to the first byte
   */
  recordSample(tokens: number, elapsedMs: number): void {
    if (tokens < MIN_PREFILL_SAMPLE_TOKENS || elapsedMs <= 0) return;
    const sample = Math.min(
      MAX_PREFILL_TOKENS_PER_MS,
      Math.max(MIN_PREFILL_TOKENS_PER_MS, tokens / elapsedMs),
    );
    this.averageTokensPerMs += (sample - this.averageTokensPerMs) * SAMPLE_WEIGHT;
  }
}
