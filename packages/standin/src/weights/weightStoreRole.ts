import { setTimeout as sleep } from 'node:timers/promises';
import { buildErrorReply, FaultSet } from '../http/index.js';
import type { Reply, Route, StandInRole } from '../http/index.js';

/** Loads that run at full speed at once; more share that speed. */
const FULL_SPEED_LOADS = 2;
const STEP_MS = 20;
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

/** The platform's weight store: rate-limited, slower when more than two engines load at once. */
export class WeightStoreRole implements StandInRole {
  readonly faults = new FaultSet<WeightStoreFaults>(defaultFaults);

  readonly routes: readonly Route[] = [
    { method: 'GET', path: '/weights/:model/:version', handle: () => this.load() },
    { method: 'GET', path: '/counts', handle: () => ({ status: 200, body: this.counts }) },
  ];

  private readonly counts = { active: 0, peak: 0, started: 0, refused: 0 };

  private starts: number[] = [];

  constructor(private readonly loadMs = DEFAULT_LOAD_MS) {}

  private async load(): Promise<Reply> {
    const { outage, loadsPerMinute, delayMs } = this.faults.current;
    if (outage) return buildErrorReply(503, 'outage');
    const now = Date.now();
    this.starts = this.starts.filter((time) => time > now - MINUTE_MS);
    if (this.starts.length >= loadsPerMinute) {
      this.counts.refused += 1;
      const waitMs = (this.starts[0] ?? now) + MINUTE_MS - now;
      return buildErrorReply(429, 'rate', { 'retry-after': String(Math.ceil(waitMs / 1000)) });
    }
    this.starts.push(now);
    const activeLoads = await this.transfer(this.loadMs + delayMs);
    return { status: 200, body: { activeLoads } };
  }

  /** Runs one load at the shared speed and gives the most loads that ran beside it. */
  private async transfer(workMs: number): Promise<number> {
    this.counts.started += 1;
    this.counts.active += 1;
    let most = this.counts.active;
    let leftMs = workMs;
    while (leftMs > 0) {
      await sleep(STEP_MS);
      most = Math.max(most, this.counts.active);
      leftMs -= STEP_MS * Math.min(1, FULL_SPEED_LOADS / this.counts.active);
    }
    this.counts.peak = Math.max(this.counts.peak, most);
    this.counts.active -= 1;
    return most;
  }
}
