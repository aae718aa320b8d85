/** Sum of amounts that fade exponentially with time. */
export class DecayedSum {
  private sum = 0;

  private updatedAtMs = performance.now();

  /** @param timeConstantMs time after which an amount counts for 1/e, in milliseconds */
  constructor(private readonly timeConstantMs: number) {}

  get value(): number {
    const nowMs = performance.now();
    this.sum *= Math.exp((this.updatedAtMs - nowMs) / this.timeConstantMs);
    this.updatedAtMs = nowMs;
    return this.sum;
  }

  /** Mean amount per millisecond over the last time constant. */
  get perMs(): number {
    return this.value / this.timeConstantMs;
  }

  add(amount: number): void {
    this.sum = this.value + amount;
  }
}
