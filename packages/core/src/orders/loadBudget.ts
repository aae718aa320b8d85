const MINUTE_MS = 60_000;

/** Keeps the loads under the weight store's rate: a token bucket that begins empty. */
export class LoadBudget {
  private tokens = 0;

  private refilledAtMs = performance.now();

  constructor(
    private readonly loadsPerMinute: number,
    private readonly burst: number,
  ) {}

  /** Takes one load; false where the rate does not allow it now. */
  tryTake(): boolean {
    const nowMs = performance.now();
    const gained = ((nowMs - this.refilledAtMs) / MINUTE_MS) * this.loadsPerMinute;
    this.tokens = Math.min(this.burst, this.tokens + gained);
    this.refilledAtMs = nowMs;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
