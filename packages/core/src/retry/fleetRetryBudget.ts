import type { ServiceName } from '../ids.js';

/** Fleet-wide limit on retries, per service. */
export interface FleetRetryLimit {
  /** Retries per first attempt. */
  readonly ratio: number;
  /** Retries allowed in addition to the ratio, across the fleet. */
  readonly allowance: number;
  /** Sliding window in which both are counted, in milliseconds. */
  readonly windowMs: number;
  /**
   * Time after its start for which a VM uses no part of the allowance, in milliseconds. Until then the
   * process before it, or the VMs that did not know of it yet, may have used its part of the window.
   */
  readonly allowanceDelayMs: number;
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

  private readonly startedAtMs = performance.now();

  /** @param countVms number of VMs that may be sending; undefined while this VM does not know it */
  constructor(
    private readonly limit: FleetRetryLimit,
    private readonly countVms: () => number | undefined,
  ) {}

  recordRequest(service: ServiceName): void {
    const window = this.getOrCreateWindow(service);
    window.firstAttemptsAtMs.push(performance.now());
    this.prune(window);
  }

  /** Whether the budget has room for one more retry. */
  canRetry(service: ServiceName): boolean {
    const window = this.getOrCreateWindow(service);
    this.prune(window);
    const { ratio } = this.limit;
    const allowed =
      (window.firstAttemptsAtMs.length * ratio + this.computeAllowance()) * USED_FRACTION;
    return window.retriesAtMs.length + 1 <= allowed;
  }

  /** Charges a retry that is being sent; what has left this VM is never credited again. */
  recordRetry(service: ServiceName): void {
    this.getOrCreateWindow(service).retriesAtMs.push(performance.now());
  }

  /** Charges one retry to the budget; false if the budget is exhausted. */
  tryRetry(service: ServiceName): boolean {
    if (!this.canRetry(service)) return false;
    this.recordRetry(service);
    return true;
  }

  /** Computes this VM's part of the fleet's allowance; none for a VM that may not be alone with it. */
  private computeAllowance(): number {
    const vmCount = this.countVms();
    const isDelayed = performance.now() - this.startedAtMs < this.limit.allowanceDelayMs;
    return vmCount === undefined || isDelayed ? 0 : this.limit.allowance / Math.max(1, vmCount);
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
