import { FAILURE_LOAD_FACTOR, MAX_FAILURE_LOAD_MS, MIN_FAILURE_LOAD_MS } from './constants.js';

/** Work that a failed request would have been for its upstream, had it run it. */
export interface FailedWork {
  /** Time that a sound request takes there, in milliseconds; undefined if none has been seen. */
  readonly runMs: number | undefined;
  /** Time to prefill the prompt, in milliseconds. */
  readonly prefillMs: number;
}

const clampLoadMs = (runMs: number): number =>
  Math.min(MAX_FAILURE_LOAD_MS, Math.max(MIN_FAILURE_LOAD_MS, runMs * FAILURE_LOAD_FACTOR));

/**
 * Load for which the failed requests of an upstream count after their end. Without it, one that fails
 * at once has nothing in flight and draws requests from sound ones.
 */
export class FailureLoad {
  private weight = 0;

  /** Time constant of the exponential decay of the weight, in milliseconds. */
  private decayMs = MIN_FAILURE_LOAD_MS;

  private updatedAtMs = -Infinity;

  /** Monotonic time until which the failed prompts would have been prefilled one after another. */
  private prefilledAtMs = -Infinity;

  /** Number of requests in flight that the failed ones weigh as much as. */
  get requests(): number {
    return this.weight * Math.exp((this.updatedAtMs - performance.now()) / this.decayMs);
  }

  /** Time for which a prompt would wait for the failed ones, in milliseconds. */
  get queueMs(): number {
    return Math.max(0, this.prefilledAtMs - performance.now());
  }

  record({ runMs, prefillMs }: FailedWork): void {
    const nowMs = performance.now();
    this.weight = this.requests + 1;
    this.updatedAtMs = nowMs;
    this.decayMs = clampLoadMs(runMs ?? 0);
    const queueMs = this.queueMs + prefillMs * FAILURE_LOAD_FACTOR;
    this.prefilledAtMs = nowMs + Math.min(MAX_FAILURE_LOAD_MS, queueMs);
  }

  clear(): void {
    this.weight = 0;
    this.prefilledAtMs = -Infinity;
  }
}
