interface QueuedRequest {
  readonly priority: number;
  readonly promptTokens: number;
  readonly resolve: (slot: BatchSlot) => void;
}

/** Slot of one request in the running batch. */
export interface BatchSlot {
  /** Marks the prefill as finished, so that the next request can start its prefill. */
  finishPrefill(): void;
  release(): void;
}

/**
 * Continuous batching: up to `maxConcurrent` requests run, at most one of them in prefill; the
 * others are queued by priority, then by arrival.
 */
export class BatchScheduler {
  private queue: QueuedRequest[] = [];

  private runningCount = 0;

  private prefilling = false;

  constructor(private readonly maxConcurrent: number) {}

  get running(): number {
    return this.runningCount;
  }

  get waiting(): number {
    return this.queue.length;
  }

  get waitingPromptTokens(): number {
    return this.queue.reduce((sum, request) => sum + request.promptTokens, 0);
  }

  /** Waits for a slot in the batch; rejects if the signal aborts first. */
  acquire(priority: number, promptTokens: number, signal: AbortSignal): Promise<BatchSlot> {
    return new Promise((resolve, reject) => {
      const request: QueuedRequest = { priority, promptTokens, resolve };
      const abort = (): void => {
        const lengthBefore = this.queue.length;
        this.queue = this.queue.filter((other) => other !== request);
        if (this.queue.length < lengthBefore) reject(new Error('cancelled while queued'));
      };
      if (signal.aborted) {
        reject(new Error('cancelled while queued'));
        return;
      }
      signal.addEventListener('abort', abort, { once: true });
      this.queue.push(request);
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

  private takeNext(): QueuedRequest | undefined {
    const best = this.queue.reduce<QueuedRequest | undefined>(
      (first, request) => (!first || request.priority < first.priority ? request : first),
      undefined,
    );
    this.queue = this.queue.filter((request) => request !== best);
    return best;
  }

  private createSlot(): BatchSlot {
    let isInPrefill = true;
    let isHeld = true;
    const finishPrefill = (): void => {
      if (!isInPrefill) return;
      isInPrefill = false;
      this.prefilling = false;
      this.dispatch();
    };
    const release = (): void => {
      if (!isHeld) return;
      isHeld = false;
      this.runningCount -= 1;
      finishPrefill();
      this.dispatch();
    };
    return { finishPrefill, release };
  }
}
