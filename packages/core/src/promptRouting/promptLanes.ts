import type { TrackedUpstream } from '../fleet/index.js';
import type { ServiceName, UpstreamId } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';
import { MIN_ZONE_ENGINES, RESERVED_ENGINES_KEY } from './constants.js';
import type { Prompt } from './prompt.js';

/** Engines for long prompts, or for short ones. */
export type PromptLane = 'long' | 'short';

/** Time constant of the exponentially decayed demand of each lane, in milliseconds. */
const DEMAND_WINDOW_MS = 15_000;

/** Utilization to which the lanes are sized in proportion. */
const LONG_LANE_UTILIZATION = 0.3;
const SHORT_LANE_UTILIZATION = 0.3;

/** Fraction of the engines that the long lane gets at least, and at most. */
const MIN_LONG_FRACTION = 0.25;
const MAX_LONG_FRACTION = 0.75;

/** Demand assumed at the start, in prefilled tokens; keeps the first prompts from moving the lanes. */
const INITIAL_DEMAND_TOKENS = 20_000;

/** Minimum number of engines for which lanes are separated. */
const MIN_LANE_ENGINES = 4;

/** A prompt is long if prefilling all of it exceeds this fraction of the shortest objective. */
const LONG_PROMPT_LANE_FRACTION = 0.15;

/**
 * The same for the shortest objective for a gap between two events, which spans several tokens. An
 * engine prefills a piece of a prompt between two tokens.
 */
const LONG_PROMPT_GAP_FRACTION = 0.08;

/** A prompt that takes less to prefill is not long for the sake of gaps, in milliseconds. */
const MIN_GAP_PREFILL_MS = 45;

/** Time for which the separation of a service's engines is cached, in milliseconds. */
const SEPARATION_TTL_MS = 300;

/** Shortest objectives of all requests at some engines, in milliseconds. */
export interface LaneObjectives {
  readonly firstTokenMs: number;
  /** For the gap between two events of a stream. */
  readonly gapMs: number;
}

/**
 * Picks the lane of a prompt by the time to prefill all of it, so that a session keeps its lane.
 *
 * @param tokensPerMs prefill rate of an engine
 * @param objectives shortest objectives of all requests at these engines, in milliseconds
 */
export const pickLane = (
  { inputTokens }: Prompt,
  tokensPerMs: number,
  { firstTokenMs, gapMs }: LaneObjectives,
): PromptLane => {
  const maxShortMs = Math.min(
    firstTokenMs * LONG_PROMPT_LANE_FRACTION,
    Math.max(MIN_GAP_PREFILL_MS, gapMs * LONG_PROMPT_GAP_FRACTION),
  );
  return inputTokens / tokensPerMs > maxShortMs ? 'long' : 'short';
};

interface LaneSeparation {
  /** Engines of the short lane. */
  readonly shortIds: ReadonlySet<UpstreamId>;
  readonly computedAtMs: number;
}

/**
 * Separates long and short prompts onto different engines, in proportion to their demand.
 *
 * Designed for many VMs whose load figures are older than a long prompt takes to prefill: a short
 * prompt cannot be routed around a long one that another VM has just sent, so they must not meet.
 * All VMs derive nearly the same lanes, because the engines are ranked by rendezvous hashing and only
 * the boundary depends on the VM's own demand.
 */
export class PromptLanes {
  private longTokens = INITIAL_DEMAND_TOKENS * LONG_LANE_UTILIZATION;

  private shortTokens = INITIAL_DEMAND_TOKENS * SHORT_LANE_UTILIZATION;

  private updatedAtMs = performance.now();

  private readonly separations = new Map<ServiceName, LaneSeparation>();

  /** Records the tokens that an engine has to prefill for a prompt. */
  recordPrompt(lane: PromptLane, prefillTokens: number): void {
    this.applyDecay();
    if (lane === 'long') this.longTokens += prefillTokens;
    else this.shortTokens += prefillTokens;
  }

  /** Lists the engines of a lane; all engines if they are too few to be separated. */
  listEngines(lane: PromptLane, engines: readonly TrackedUpstream[]): readonly TrackedUpstream[] {
    const service = engines[0]?.registered.service;
    if (service === undefined || engines.length < MIN_LANE_ENGINES) return engines;
    const nowMs = performance.now();
    let separation = this.separations.get(service);
    if (!separation || nowMs - separation.computedAtMs > SEPARATION_TTL_MS) {
      separation = { shortIds: this.selectShortIds(engines), computedAtMs: nowMs };
      this.separations.set(service, separation);
    }
    const { shortIds } = separation;
    return engines.filter(({ upstreamId }) => shortIds.has(upstreamId) === (lane === 'short'));
  }

  /** Selects engines of each zone if the zones have enough, otherwise of all zones together. */
  private selectShortIds(engines: readonly TrackedUpstream[]): ReadonlySet<UpstreamId> {
    const idsByZone = new Map<string, UpstreamId[]>();
    engines.forEach(({ upstreamId, registered }) => {
      const ids = idsByZone.get(registered.availabilityZone) ?? [];
      ids.push(upstreamId);
      idsByZone.set(registered.availabilityZone, ids);
    });
    const zones = [...idsByZone.values()];
    const isByZone = zones.every(({ length }) => length >= MIN_ZONE_ENGINES);
    const longFraction = this.computeLongFraction();
    const shortIds = (isByZone ? zones : [zones.flat()]).flatMap((ids) =>
      rankByRendezvous(RESERVED_ENGINES_KEY, ids).slice(
        0,
        ids.length - Math.round(ids.length * longFraction),
      ),
    );
    return new Set(shortIds);
  }

  private computeLongFraction(): number {
    this.applyDecay();
    const longEngines = this.longTokens / LONG_LANE_UTILIZATION;
    const shortEngines = this.shortTokens / SHORT_LANE_UTILIZATION;
    const fraction = longEngines / Math.max(1, longEngines + shortEngines);
    return Math.min(MAX_LONG_FRACTION, Math.max(MIN_LONG_FRACTION, fraction));
  }

  private applyDecay(): void {
    const nowMs = performance.now();
    const decayFactor = Math.exp((this.updatedAtMs - nowMs) / DEMAND_WINDOW_MS);
    this.longTokens *= decayFactor;
    this.shortTokens *= decayFactor;
    this.updatedAtMs = nowMs;
  }
}
