import type { UpstreamId } from '../ids.js';

/** An engine that may have to load other weights. */
export interface RolloutEngine {
  readonly upstreamId: UpstreamId;
  /** Whether it runs on older weights than wanted. */
  readonly isBehind: boolean;
  /** Requests that it runs or has waiting. */
  readonly load: number;
}

/**
 * Engines that load weights at once before each becomes slower: two of seven, rounded down, from
 * the sites' sheets (2 of 8, 12 of 42, 28 of 98).
 */
const CONCURRENT_LOAD_SHARE = 2 / 7;

/** Time for which an engine that did not answer an order comes after the others, in milliseconds. */
const FAILED_DELAY_MS = 700;

/** Computes how many engines of a fleet may load weights at the same time. */
export const computeConcurrentLoads = (engines: number): number =>
  Math.max(1, Math.floor(engines * CONCURRENT_LOAD_SHARE));

/**
 * Plans a change of weights as a loss of capacity: as many engines at once as load at full speed,
 * those with the least work first, and those that failed to answer last.
 */
export class RolloutPlanner {
  private readonly underWay = new Set<UpstreamId>();

  private readonly failedAtMs = new Map<UpstreamId, number>();

  /** Chooses the engines to order now and counts them as under way. */
  takeNext(engines: readonly RolloutEngine[]): readonly UpstreamId[] {
    const free = computeConcurrentLoads(engines.length) - this.underWay.size;
    if (free <= 0) return [];
    const nowMs = performance.now();
    const chosen = engines
      .filter(({ upstreamId, isBehind }) => isBehind && !this.underWay.has(upstreamId))
      .filter(({ upstreamId }) => nowMs - this.getFailure(upstreamId) >= FAILED_DELAY_MS)
      .sort((left, right) => left.load - right.load)
      .slice(0, free)
      .map(({ upstreamId }) => upstreamId);
    chosen.forEach((upstreamId) => this.underWay.add(upstreamId));
    return chosen;
  }

  /** Lists the engines that are being loaded. */
  listUnderWay(): readonly UpstreamId[] {
    return [...this.underWay];
  }

  noteDone(upstreamId: UpstreamId): void {
    this.underWay.delete(upstreamId);
    this.failedAtMs.delete(upstreamId);
  }

  noteFailed(upstreamId: UpstreamId): void {
    this.underWay.delete(upstreamId);
    this.failedAtMs.set(upstreamId, performance.now());
  }

  private getFailure(upstreamId: UpstreamId): number {
    return this.failedAtMs.get(upstreamId) ?? -Infinity;
  }
}
