import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { TrackedUpstream } from '../fleet/index.js';
import type { AvailabilityZoneId } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';
import {
  MIN_ZONE_ENGINES,
  SAMPLED_CANDIDATES,
  SESSION_CANDIDATES,
  SESSION_OBJECTIVE_FRACTION,
} from './constants.js';
import type { Prompt } from './prompt.js';
import { findSessionPart } from './prompt.js';

/** A set of candidate engines for a prompt. */
export interface EngineGroup {
  readonly engines: readonly TrackedUpstream[];
  /** Whether these engines normally get requests only from VMs of one zone. */
  readonly isSingleZone: boolean;
  /** Fraction of the prompt's objective within which the first token must be expected. */
  readonly objectiveFraction: number;
}

/** Options of the candidate engines. */
export interface EngineGroupOptions {
  /** Lists the engines of the prompt's lane; all by default. */
  readonly listLane?: (all: readonly TrackedUpstream[]) => readonly TrackedUpstream[];
  /** Draws the engines that are compared with those of the session; none are drawn by default. */
  readonly random?: RandomGenerator | undefined;
}

/** Draws some engines at random, other ones for each prompt; the same one may be drawn twice. */
const sampleEngines = (
  engines: readonly TrackedUpstream[],
  random: RandomGenerator | undefined,
): readonly TrackedUpstream[] =>
  random && engines.length > 0
    ? Array.from(
        { length: SAMPLED_CANDIDATES },
        () => engines[uniformInt(random, 0, engines.length - 1)]!,
      )
    : [];

const pickSessionEngines = (
  prompt: Prompt,
  engines: readonly TrackedUpstream[],
): readonly TrackedUpstream[] => {
  const sessionPart = findSessionPart(prompt);
  if (!sessionPart) return engines;
  const byId = new Map(engines.map((engine) => [engine.upstreamId, engine]));
  return rankByRendezvous(sessionPart.id, [...byId.keys()])
    .slice(0, SESSION_CANDIDATES)
    .map((upstreamId) => byId.get(upstreamId)!);
};

/**
 * Lists the candidate engines for a prompt in order of preference: a few engines of its lane, from the
 * given zone if it has enough, then all engines of the lane in the zone, then all of the lane, then all
 * engines. A group is used only if the previous one cannot meet the objective.
 *
 * The first group has the engines of the session, and some drawn at random. It is small to prevent a
 * thundering herd: for prompts that arrive at several VMs at the same time, each VM's view of the
 * others' load is stale, and all would choose the same least-loaded engine. Without the drawn ones, the
 * engines of much-used sessions would never catch up with their prefills while others idle, and an
 * engine that prefills all the time hardly generates.
 *
 * @param zone zone in which the session is stored, otherwise the zone of this VM
 */
export const listEngineGroups = (
  prompt: Prompt,
  engines: readonly TrackedUpstream[],
  zone: AvailabilityZoneId,
  { listLane = (all) => all, random }: EngineGroupOptions = {},
): readonly EngineGroup[] => {
  const isInZone = ({ registered }: TrackedUpstream): boolean =>
    registered.availabilityZone === zone;
  const isSingleZone = engines.filter(isInZone).length >= MIN_ZONE_ENGINES;
  const laneEngines = listLane(engines);
  const nearEngines = isSingleZone ? laneEngines.filter(isInZone) : laneEngines;
  const groups: EngineGroup[] = [
    {
      engines: [
        ...new Set([
          ...pickSessionEngines(prompt, nearEngines),
          ...sampleEngines(nearEngines, random),
        ]),
      ],
      isSingleZone,
      objectiveFraction: SESSION_OBJECTIVE_FRACTION,
    },
  ];
  if (isSingleZone) groups.push({ engines: nearEngines, isSingleZone, objectiveFraction: 1 });
  if (laneEngines.length < engines.length) {
    groups.push({ engines: laneEngines, isSingleZone: false, objectiveFraction: 1 });
  }
  return [...groups, { engines, isSingleZone: false, objectiveFraction: Infinity }];
};
