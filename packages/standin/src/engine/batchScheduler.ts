interface Waiter {
  readonly priority: number;
  readonly promptTokens: number;
  readonly resolve: (slot: BatchSlot) => void;
}

/** Place of one request in the running batch. */
export interface BatchSlot {
  /** Lets the next request begin its prefill. */
  finishPrefill(): void;
  release(): void;
}

/**
 * Continuous batching: up to `maxConcurrent` requests run, one of them in prefill;
 * the rest waits by priority, then in order of arrival.
 */
export class BatchScheduler {
  private waiters: Waiter[] = [];

  private runningCount = 0;

  private prefilling = false;

  constructor(private readonly maxConcurrent: number) {}

  get running(): number {
    return this.runningCount;
  }

  get waiting(): number {
    return this.waiters.length;
  }

  get waitingPromptTokens(): number {
    return this.waiters.reduce((sum, waiter) => sum + waiter.promptTokens, 0);
  }

  /** Waits for a place in the batch; rejects when the signal aborts first. */
  acquire(priority: number, promptTokens: number, signal: AbortSignal): Promise<BatchSlot> {
    return new Promise((resolve, reject) => {
      const waiter: Waiter = { priority, promptTokens, resolve };
      const abort = (): void => {
        const before = this.waiters.length;
        this.waiters = this.waiters.filter((other) => other !== waiter);
        if (this.waiters.length < before) reject(new Error('cancelled while waiting'));
      };
      if (signal.aborted) {
        reject(new Error('cancelled while waiting'));
        return;
      }
      signal.addEventListener('abort', abort, { once: true });
      this.waiters.push(waiter);
      this.dispatch();
    });
  }

  private dispatch(): void {
    if (this.prefilling || this.runningCount >= this.maxConcurrent) return;
    const next = this.takeNext();
    if (!next) return;
    this.runningCount += 1;
    this.prefilling = true;
    next.resolve(this.createSlot());
  }

  private takeNext(): Waiter | undefined {
    const best = this.waiters.reduce<Waiter | undefined>(
      (first, waiter) => (!first || waiter.priority < first.priority ? waiter : first),
      undefined,
    );
    this.waiters = this.waiters.filter((waiter) => waiter !== best);
    return best;
  }

  private createSlot(): BatchSlot {
    let inPrefill = true;
    let held = true;
    const finishPrefill = (): void => {
      if (!inPrefill) return;
      inPrefill = false;
      this.prefilling = false;
      this.dispatch();
    };
    const release = (): void => {
      if (!held) return;
      held = false;
      this.runningCount -= 1;
      finishPrefill();
      this.dispatch();
    };
    return { finishPrefill, release };
  }
}
