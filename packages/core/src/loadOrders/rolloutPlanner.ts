import type { UpstreamId } from '../ids.js';

/** Rollout state of an engine. */
export interface RolloutEngine {
  readonly upstreamId: UpstreamId;
  /** Whether the engine runs older weights than the target version. */
  readonly isBehind: boolean;
  /** Number of running and queued requests. */
  readonly load: number;
}

/**
 * Fraction of the engines that can load weights concurrently at full speed: two sevenths, rounded
 * down, from the site specifications (2 of 8, 12 of 42, 28 of 98 engines).
 */
const CONCURRENT_LOAD_FRACTION = 2 / 7;

/** Time for which an engine is skipped after a failed order, in milliseconds. */
const FAILED_ENGINE_RETRY_DELAY_MS = 700;

/** Computes how many engines of a fleet may load weights concurrently. */
export const computeConcurrentLoads = (engineCount: number): number =>
  Math.max(1, Math.floor(engineCount * CONCURRENT_LOAD_FRACTION));

/**
 * Plans a weight rollout with bounded capacity loss: as many engines concurrently as can load at
 * full speed, least loaded first; engines that failed are skipped for a while.
 */
export class RolloutPlanner {
  private readonly loadingEngines = new Set<UpstreamId>();

  private readonly failedAtMs = new Map<UpstreamId, number>();

  /** Selects the engines to send orders to now and marks them as loading. */
  takeNext(engines: readonly RolloutEngine[]): readonly UpstreamId[] {
    const availableLoads = computeConcurrentLoads(engines.length) - this.loadingEngines.size;
    if (availableLoads <= 0) return [];
    const nowMs = performance.now();
    const chosen = engines
      .filter(({ upstreamId, isBehind }) => isBehind && !this.loadingEngines.has(upstreamId))
      .filter(
        ({ upstreamId }) => nowMs - this.getFailedAtMs(upstreamId) >= FAILED_ENGINE_RETRY_DELAY_MS,
      )
      .sort((left, right) => left.load - right.load)
      .slice(0, availableLoads)
      .map(({ upstreamId }) => upstreamId);
    chosen.forEach((upstreamId) => this.loadingEngines.add(upstreamId));
    return chosen;
  }

  /** Lists the engines that are loading weights. */
  listLoadingEngines(): readonly UpstreamId[] {
    return [...this.loadingEngines];
  }

  recordSuccess(upstreamId: UpstreamId): void {
    this.loadingEngines.delete(upstreamId);
    this.failedAtMs.delete(upstreamId);
  }

  recordFailure(upstreamId: UpstreamId): void {
    this.loadingEngines.delete(upstreamId);
    this.failedAtMs.set(upstreamId, performance.now());
  }

  private getFailedAtMs(upstreamId: UpstreamId): number {
    return this.failedAtMs.get(upstreamId) ?? -Infinity;
  }
}
