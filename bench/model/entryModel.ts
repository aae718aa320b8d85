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
import type { EngineLoad, EngineModel } from './engine.js';
import { COLD_CONCURRENT, MAX_CONCURRENT, PREFILL_TOKENS_PER_SECOND } from './sizes.js';

interface Dispatch {
  readonly atMs: number;
  readonly tokens: number;
}

interface KnownEngine {
  readonly engine: EngineModel;
  load: EngineLoad;
  dispatches: Dispatch[];
}

/** One entry VM: its router, its lagged view of the load, and its own dispatches since. */
export class EntryModel {
  private readonly engines = new Map<UpstreamId, KnownEngine>();

  constructor(
    private readonly router: Router,
    engines: readonly EngineModel[],
    private readonly isZoneIn: (zone: string) => boolean,
  ) {
    engines.forEach((engine) => {
      this.engines.set(engine.upstreamId, { engine, load: engine.sampleLoad(), dispatches: [] });
    });
  }

  applyLoad(upstreamId: UpstreamId, load: EngineLoad): void {
    const known = this.engines.get(upstreamId)!;
    known.load = load;
    known.dispatches = known.dispatches.filter(({ atMs }) => atMs > load.sampledAtMs);
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

  private createView({ engine, load, dispatches }: KnownEngine): UpstreamView {
    return {
      upstreamId: engine.upstreamId,
      role: 'engine',
      address: '',
      availabilityZone: toId<AvailabilityZoneId>(engine.zone),
      bootId: load.bootId,
      model: toId<ModelId>('m'),
      eligible: this.isZoneIn(engine.zone),
      cold: load.cold,
      running: load.running,
      waiting: load.waiting,
      waitingPromptTokens: load.waitingPromptTokens,
      prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
      maxConcurrent: MAX_CONCURRENT,
      coldConcurrent: COLD_CONCURRENT,
      ageMs: Date.now() - load.sampledAtMs,
      dispatchedSince: dispatches.length,
      dispatchedTokensSince: dispatches.reduce((sum, { tokens }) => sum + tokens, 0),
    };
  }
}
