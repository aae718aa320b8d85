const MINUTE_MS = 60_000;

/** Limits loads to the weight store's rate: a token bucket that is initially empty. */
export class LoadBudget {
  private availableLoads = 0;

  private refilledAtMs = performance.now();

  constructor(
    private readonly loadsPerMinute: number,
    private readonly burst: number,
  ) {}

  /** Takes one load from the budget; false if the rate does not permit it now. */
  tryTake(): boolean {
    const nowMs = performance.now();
    const earnedLoads = ((nowMs - this.refilledAtMs) / MINUTE_MS) * this.loadsPerMinute;
    this.availableLoads = Math.min(this.burst, this.availableLoads + earnedLoads);
    this.refilledAtMs = nowMs;
    if (this.availableLoads < 1) return false;
    this.availableLoads -= 1;
    return true;
  }
}
