const DECREASE_FACTOR = 0.5;

/** Limit that one VM adapts on its own: up by one for a round of completions, halved on a failure. */
export class LocalLimit {
  private value = 1;

  constructor(private readonly max: number) {}

  /** Starts again from what the granter last gave. */
  reset(value: number): void {
    this.value = Math.min(value, this.max);
  }

  /** Notes how a request ended. */
  note(isCompleted: boolean): void {
    this.value = isCompleted
      ? Math.min(this.max, this.value + 1 / this.value)
      : Math.max(1, this.value * DECREASE_FACTOR);
  }

  /** Gives the requests that may be in flight. */
  get(): number {
    return Math.floor(this.value);
  }
}
