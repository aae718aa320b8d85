import type { ServiceName } from '../ids.js';

/** Fleet-wide limit on retries, per service. */
export interface FleetRetryLimit {
  /** Retries per first attempt. */
  readonly ratio: number;
  /** Retries allowed in addition to the ratio, across the fleet. */
  readonly allowance: number;
  /** Sliding window in which both are counted, in milliseconds. */
  readonly windowMs: number;
}

/**
 * Fraction of the limit that is used, since an attempt in transit at a window's edge may count in
 * either window.
 */
const USED_FRACTION = 0.75;

interface RetryWindow {
  readonly firstAttemptsAtMs: number[];
  readonly retriesAtMs: number[];
}

/**
 * Limits retries to a ratio of this VM's own requests plus an even split of the fleet's allowance,
 * so that the fleet stays within the limit without coordination.
 */
export class FleetRetryBudget {
  private readonly windows = new Map<ServiceName, RetryWindow>();

  constructor(
    private readonly limit: FleetRetryLimit,
    private readonly countVms: () => number,
  ) {}

  recordRequest(service: ServiceName): void {
    const window = this.getOrCreateWindow(service);
    window.firstAttemptsAtMs.push(performance.now());
    this.prune(window);
  }

  /** Charges one retry to the budget; false if the budget is exhausted. */
  tryRetry(service: ServiceName): boolean {
    const window = this.getOrCreateWindow(service);
    this.prune(window);
    const allowance = this.limit.allowance / Math.max(1, this.countVms());
    const allowed =
      (window.firstAttemptsAtMs.length * this.limit.ratio + allowance) * USED_FRACTION;
    if (window.retriesAtMs.length + 1 > allowed) return false;
    window.retriesAtMs.push(performance.now());
    return true;
  }

  /** Credits a retry that was charged at a monotonic time but not sent. */
  withdrawRetry(service: ServiceName, chargedAtMs: number): void {
    const { retriesAtMs } = this.getOrCreateWindow(service);
    const index = retriesAtMs.findLastIndex((atMs) => atMs <= chargedAtMs);
    if (index >= 0) retriesAtMs.splice(index, 1);
  }

  private getOrCreateWindow(service: ServiceName): RetryWindow {
    const existing = this.windows.get(service);
    if (existing) return existing;
    const created: RetryWindow = { firstAttemptsAtMs: [], retriesAtMs: [] };
    this.windows.set(service, created);
    return created;
  }

  private prune(window: RetryWindow): void {
    const oldestMs = performance.now() - this.limit.windowMs;
    for (const timestampsMs of [window.firstAttemptsAtMs, window.retriesAtMs]) {
      while (timestampsMs.length > 0 && timestampsMs[0]! < oldestMs) timestampsMs.shift();
    }
  }
}
