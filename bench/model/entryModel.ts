import { toId } from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  ModelId,
  Route,
  Router,
  RouteRequest,
  UpstreamId,
  UpstreamView,
} from '@goldcrestscale/core';
import type { EngineLoad, EngineModel } from './engineModel.js';
import {
  COLD_CONCURRENT_REQUESTS,
  MAX_CONCURRENT_REQUESTS,
  PREFILL_TOKENS_PER_SECOND,
} from './constants.js';

interface Dispatch {
  readonly atMs: number;
  readonly tokens: number;
}

interface TrackedEngine {
  readonly engine: EngineModel;
  load: EngineLoad;
  dispatches: Dispatch[];
}

/** Simulated entry VM: a router, a delayed view of the load, and the dispatches since then. */
export class EntryModel {
  private readonly engines = new Map<UpstreamId, TrackedEngine>();

  constructor(
    private readonly router: Router,
    engines: readonly EngineModel[],
    private readonly isZoneAvailable: (zone: string) => boolean,
  ) {
    engines.forEach((engine) => {
      this.engines.set(engine.upstreamId, { engine, load: engine.sampleLoad(), dispatches: [] });
    });
  }

  applyLoad(upstreamId: UpstreamId, load: EngineLoad): void {
    const trackedEngine = this.engines.get(upstreamId)!;
    trackedEngine.load = load;
    trackedEngine.dispatches = trackedEngine.dispatches.filter(
      ({ atMs }) => atMs > load.sampledAtMs,
    );
  }

  choose(request: RouteRequest): Route | undefined {
    const route = this.router.choose(
      request,
      [...this.engines.values()].map((known) => this.createView(known)),
    );
    if (route) {
      const tokens = request.promptTokens - route.expectedCachedTokens;
      this.engines.get(route.upstreamId)!.dispatches.push({ atMs: Date.now(), tokens });
    }
    return route;
  }

  private createView({ engine, load, dispatches }: TrackedEngine): UpstreamView {
    return {
      upstreamId: engine.upstreamId,
      role: 'engine',
      address: '',
      availabilityZone: toId<AvailabilityZoneId>(engine.zone),
      bootId: load.bootId,
      model: toId<ModelId>('m'),
      eligible: this.isZoneAvailable(engine.zone),
      cold: load.cold,
      running: load.running,
      waiting: load.waiting,
      waitingPromptTokens: load.waitingPromptTokens,
      prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
      maxConcurrent: MAX_CONCURRENT_REQUESTS,
      coldConcurrent: COLD_CONCURRENT_REQUESTS,
      ageMs: Date.now() - load.sampledAtMs,
      dispatchedSince: dispatches.length,
      dispatchedTokensSince: dispatches.reduce((sum, { tokens }) => sum + tokens, 0),
    };
  }
}
