import { setTimeout as sleep } from 'node:timers/promises';
import { buildErrorReply, FaultSet } from '../http/index.js';
import type { Reply, Route, StandInRole } from '../http/index.js';

/** Number of concurrent loads that run at full speed; more loads share that bandwidth. */
const MAX_FULL_SPEED_LOADS = 2;
const TRANSFER_STEP_MS = 20;
const MINUTE_MS = 60_000;
const DEFAULT_LOAD_MS = 800;
const DEFAULT_LOADS_PER_MINUTE = 600;

const defaultFaults = {
  outage: false,
  loadsPerMinute: DEFAULT_LOADS_PER_MINUTE,
  delayMs: 0,
};

/** Faults of the weight store. */
export type WeightStoreFaults = typeof defaultFaults;

/**
 * Stand-in for the platform's weight store: rate-limited, and slower with more than two concurrent
 * loads.
 */
export class WeightStoreRole implements StandInRole {
  readonly faults = new FaultSet<WeightStoreFaults>(defaultFaults);

  readonly routes: readonly Route[] = [
    { method: 'GET', path: '/weights/:model/:version', handle: () => this.load() },
    { method: 'GET', path: '/counts', handle: () => ({ status: 200, body: this.counts }) },
  ];

  private readonly counts = { active: 0, peak: 0, started: 0, refused: 0 };

  private loadStartsMs: number[] = [];

  constructor(private readonly loadMs = DEFAULT_LOAD_MS) {}

  private async load(): Promise<Reply> {
    const { outage, loadsPerMinute, delayMs } = this.faults.current;
    if (outage) return buildErrorReply(503, 'outage');
    const nowMs = Date.now();
    this.loadStartsMs = this.loadStartsMs.filter((startMs) => startMs > nowMs - MINUTE_MS);
    if (this.loadStartsMs.length >= loadsPerMinute) {
      this.counts.refused += 1;
      const waitMs = (this.loadStartsMs[0] ?? nowMs) + MINUTE_MS - nowMs;
      return buildErrorReply(429, 'rate', { 'retry-after': String(Math.ceil(waitMs / 1000)) });
    }
    this.loadStartsMs.push(nowMs);
    const activeLoads = await this.transferWeights(this.loadMs + delayMs);
    return { status: 200, body: { activeLoads } };
  }

  /** Runs one load at the shared speed. @returns the peak number of concurrent loads during it */
  private async transferWeights(fullSpeedMs: number): Promise<number> {
    this.counts.started += 1;
    this.counts.active += 1;
    let peakLoads = this.counts.active;
    let remainingMs = fullSpeedMs;
    while (remainingMs > 0) {
      await sleep(TRANSFER_STEP_MS);
      peakLoads = Math.max(peakLoads, this.counts.active);
      remainingMs -= TRANSFER_STEP_MS * Math.min(1, MAX_FULL_SPEED_LOADS / this.counts.active);
    }
    this.counts.peak = Math.max(this.counts.peak, peakLoads);
    this.counts.active -= 1;
    return peakLoads;
  }
}
