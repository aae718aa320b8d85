/** Time constant of the exponentially decayed demand, in milliseconds. */
const DEMAND_WINDOW_MS = 2_000;

/** Exponentially decayed rate of prefill tokens demanded by this VM's short prompts. */
export class ShortPromptDemand {
  private tokensInWindow = 0;

  private updatedAtMs = performance.now();

  /** Fraction of the averaging window observed since the start; corrects the startup bias. */
  private observedFraction = 0;

  recordPrompt(tokens: number): void {
    this.applyDecay();
    this.tokensInWindow += tokens;
  }

  get tokensPerMs(): number {
    this.applyDecay();
    return this.observedFraction > 0
      ? this.tokensInWindow / (DEMAND_WINDOW_MS * this.observedFraction)
      : 0;
  }

  private applyDecay(): void {
    const nowMs = performance.now();
    const decayFactor = Math.exp((this.updatedAtMs - nowMs) / DEMAND_WINDOW_MS);
    this.tokensInWindow *= decayFactor;
    this.observedFraction = 1 - (1 - this.observedFraction) * decayFactor;
    this.updatedAtMs = nowMs;
  }
}
