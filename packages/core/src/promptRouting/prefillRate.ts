import {
  PREFILL_MAX_TOKENS_PER_MS,
  PREFILL_MIN_TOKENS_PER_MS,
  PREFILL_SAMPLE_TOKENS,
  PREFILL_TOKENS_PER_MS,
} from './constants.js';

/** Weight of one sample in the running mean. */
const SAMPLE_WEIGHT = 0.03;

/** Learns how fast a site's engines read prompts, from the first bytes of long ones. */
export class PrefillRate {
  private meanTokensPerMs = PREFILL_TOKENS_PER_MS;

  get tokensPerMs(): number {
    return this.meanTokensPerMs;
  }

  /**
   * @param tokens tokens that were ahead of the first byte: the prompt's own and those queued before
   * @param elapsedMs time from the dispatch to the first byte
   */
  learn(tokens: number, elapsedMs: number): void {
    if (tokens < PREFILL_SAMPLE_TOKENS || elapsedMs <= 0) return;
    const sample = Math.min(
      PREFILL_MAX_TOKENS_PER_MS,
      Math.max(PREFILL_MIN_TOKENS_PER_MS, tokens / elapsedMs),
    );
    this.meanTokensPerMs += (sample - this.meanTokensPerMs) * SAMPLE_WEIGHT;
  }
}
