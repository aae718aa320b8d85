import type { TrackedUpstream } from '../fleet/index.js';
import type { AvailabilityZoneId } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';
import { SESSION_CANDIDATES, SESSION_OBJECTIVE_FRACTION, MIN_ZONE_ENGINES } from './constants.js';
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
 * Lists the candidate engines for a prompt in order of preference: a few engines of its lane selected
 * by session, from the given zone if it has enough, then all engines of the lane in the zone, then
 * all of the lane, then all engines. A group is used only if the previous one cannot meet the
 * objective.
 *
 * The small first group prevents a thundering herd: for prompts that arrive at several VMs at the
 * same time, each VM's view of the others' load is stale, and all would choose the same
 * least-loaded engine.
 *
 * @param zone zone in which the session is stored, otherwise the zone of this VM
 * @param listLane lists the engines of the prompt's lane
 */
export const listEngineGroups = (
  prompt: Prompt,
  engines: readonly TrackedUpstream[],
  zone: AvailabilityZoneId,
  listLane: (all: readonly TrackedUpstream[]) => readonly TrackedUpstream[] = (all) => all,
): readonly EngineGroup[] => {
  const isInZone = ({ registered }: TrackedUpstream): boolean =>
    registered.availabilityZone === zone;
  const isSingleZone = engines.filter(isInZone).length >= MIN_ZONE_ENGINES;
  const laneEngines = listLane(engines);
  const nearEngines = isSingleZone ? laneEngines.filter(isInZone) : laneEngines;
  const groups: EngineGroup[] = [
    {
      engines: pickSessionEngines(prompt, nearEngines),
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
