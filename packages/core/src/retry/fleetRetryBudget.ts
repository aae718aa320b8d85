import type { ServiceName } from '../ids.js';

/** Bound on repeats that the whole fleet keeps to, for each service. */
export interface RetryBound {
  /** Repeats for each first request. */
  readonly ratio: number;
  /** Repeats that are allowed beside the ratio, over the whole fleet. */
  readonly allowance: number;
  /** Window in which both are counted, in milliseconds. */
  readonly windowMs: number;
}

/** Part of the bound that is used: what is under way at a window's edge may fall into either. */
const USED_SHARE = 0.75;

interface Window {
  readonly firsts: number[];
  readonly repeats: number[];
}

/**
 * Keeps repeats within a share of this VM's own requests and an even part of the fleet's
 * allowance, so that all VMs together keep the bound without a message.
 */
export class FleetRetryBudget {
  private readonly windows = new Map<ServiceName, Window>();

  constructor(
    private readonly bound: RetryBound,
    private readonly countVms: () => number,
  ) {}

  noteRequest(service: ServiceName): void {
    const window = this.getWindow(service);
    window.firsts.push(performance.now());
    this.prune(window);
  }

  /** Takes the right to send one more request. */
  tryRepeat(service: ServiceName): boolean {
    const window = this.getWindow(service);
    this.prune(window);
    const allowance = this.bound.allowance / Math.max(1, this.countVms());
    const allowed = (window.firsts.length * this.bound.ratio + allowance) * USED_SHARE;
    if (window.repeats.length + 1 > allowed) return false;
    window.repeats.push(performance.now());
    return true;
  }

  private getWindow(service: ServiceName): Window {
    const known = this.windows.get(service);
    if (known) return known;
    const created: Window = { firsts: [], repeats: [] };
    this.windows.set(service, created);
    return created;
  }

  private prune(window: Window): void {
    const oldestMs = performance.now() - this.bound.windowMs;
    for (const times of [window.firsts, window.repeats]) {
      while (times.length > 0 && times[0]! < oldestMs) times.shift();
    }
  }
}
