/** Time over which the demand is averaged, in milliseconds. */
const DEMAND_WINDOW_MS = 2_000;

/** Tokens that this VM's short prompts ask engines to read, as a decaying rate. */
export class ShortDemand {
  private tokensInWindow = 0;

  private updatedAtMs = performance.now();

  /** Part of the whole window that has been observed since the start. */
  private observed = 0;

  note(tokens: number): void {
    this.updateWindow();
    this.tokensInWindow += tokens;
  }

  get tokensPerMs(): number {
    this.updateWindow();
    return this.observed > 0 ? this.tokensInWindow / (DEMAND_WINDOW_MS * this.observed) : 0;
  }

  private updateWindow(): void {
    const nowMs = performance.now();
    const kept = Math.exp((this.updatedAtMs - nowMs) / DEMAND_WINDOW_MS);
    this.tokensInWindow *= kept;
    this.observed = 1 - (1 - this.observed) * kept;
    this.updatedAtMs = nowMs;
  }
}
