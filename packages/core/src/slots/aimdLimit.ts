const DECREASE_FACTOR = 0.5;

/**
 * AIMD concurrency limit of one VM: grows by one per round of completions and is halved on failure.
 */
export class AimdLimit {
  private limit = 1;

  constructor(private readonly maxLimit: number) {}

  /** Resets the limit, for example to the slots last granted. */
  reset(limit: number): void {
    this.limit = Math.min(limit, this.maxLimit);
  }

  /** Adjusts the limit for the outcome of a request. */
  recordOutcome(isCompleted: boolean): void {
    this.limit = isCompleted
      ? Math.min(this.maxLimit, this.limit + 1 / this.limit)
      : Math.max(1, this.limit * DECREASE_FACTOR);
  }

  /** Returns the number of requests that may be in flight. */
  getLimit(): number {
    return Math.floor(this.limit);
  }
}
