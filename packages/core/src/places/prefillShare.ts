import { DecayedSum } from '../decayedSum.js';

/** Time constant of the prompts that count, in milliseconds. */
const PREFILL_WINDOW_MS = 5_000;

/** Part of their prompts' tokens that engines have to prefill, since they have not cached the rest. */
export class PrefillShare {
  private readonly prefilled = new DecayedSum(PREFILL_WINDOW_MS);

  private readonly sent = new DecayedSum(PREFILL_WINDOW_MS);

  /** Returns the part, in [0, 1]; 1 before the first prompt. */
  get value(): number {
    const sent = this.sent.value;
    return sent > 0 ? Math.min(1, this.prefilled.value / sent) : 1;
  }

  recordPrompt(prefillTokens: number, inputTokens: number): void {
    this.prefilled.add(prefillTokens);
    this.sent.add(inputTokens);
  }
}
