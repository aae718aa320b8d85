import type { TrackedUpstream } from '../fleet/index.js';
import type { AvailabilityZoneId } from '../ids.js';
import { rankByRendezvous } from '../membership/rendezvous.js';
import { FIRST_CANDIDATES, FIRST_OBJECTIVE_SHARE, NEAR_MIN_ENGINES } from './constants.js';
import type { Prompt } from './prompt.js';
import { findSessionPart } from './prompt.js';

/** Engines to choose among for a prompt. */
export interface EngineGroup {
  readonly engines: readonly TrackedUpstream[];
  /** Whether only the VMs of one zone send to these engines as a rule. */
  readonly isNear: boolean;
  /** Part of the prompt's objective within which its first token must be expected. */
  readonly objectiveShare: number;
}

const pickForSession = (
  prompt: Prompt,
  engines: readonly TrackedUpstream[],
): readonly TrackedUpstream[] => {
  const session = findSessionPart(prompt);
  if (!session) return engines;
  const byId = new Map(engines.map((engine) => [engine.upstreamId, engine]));
  return rankByRendezvous(session.id, [...byId.keys()])
    .slice(0, FIRST_CANDIDATES)
    .map((upstreamId) => byId.get(upstreamId)!);
};

/**
 * Lists the engines to look at for a prompt: the few that its session has, of its home zone where
 * there are enough, then the whole zone, then all. The next group counts only where the one before
 * can't serve in time.
 *
 * Load pattern: prompts that come to several VMs at the same moment. What each VM knows of the
 * others is older than that; choosing the least loaded of all engines, all would choose the same.
 *
 * @param zone where the session is stored, else the zone of this VM
 */
export const listEngineGroups = (
  prompt: Prompt,
  engines: readonly TrackedUpstream[],
  zone: AvailabilityZoneId,
): readonly EngineGroup[] => {
  const all = { engines, isNear: false, objectiveShare: Infinity };
  const near = engines.filter(({ registered }) => registered.availabilityZone === zone);
  if (near.length < NEAR_MIN_ENGINES) {
    const few = pickForSession(prompt, engines);
    return [{ engines: few, isNear: false, objectiveShare: FIRST_OBJECTIVE_SHARE }, all];
  }
  const few = pickForSession(prompt, near);
  return [
    { engines: few, isNear: true, objectiveShare: FIRST_OBJECTIVE_SHARE },
    { engines: near, isNear: true, objectiveShare: 1 },
    all,
  ];
};
