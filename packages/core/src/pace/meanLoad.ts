import type { TrackedUpstream } from '../fleet/index.js';
import { MEAN_LOAD_TTL_MS } from './constants.js';

/** Mean load of the upstreams of a service, kept for a moment. */
export class MeanLoad {
  readonly createdAtMs = performance.now();

  private requests = 0;

  private computedAtMs = -Infinity;

  get(listCarrying: () => readonly TrackedUpstream[]): number {
    const nowMs = performance.now();
    if (nowMs - this.computedAtMs < MEAN_LOAD_TTL_MS) return this.requests;
    const carrying = listCarrying();
    const load = carrying.reduce((sum, upstream) => sum + upstream.estimateLoad(), 0);
    this.requests = load / Math.max(1, carrying.length);
    this.computedAtMs = nowMs;
    return this.requests;
  }
}
