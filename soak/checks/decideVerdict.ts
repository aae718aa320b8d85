import type { Finding, SoakHistory } from '../history.js';

/** What a play of a seed shows; `notJudged` if the machine was too busy to tell. */
export type Verdict = 'clean' | 'failed' | 'notJudged';

/** Largest share of its time for which the soak may stand still, and still judge matters of time. */
export const MAX_STALL_SHARE = 0.25;

/** Share of its time for which the soak itself stood still. */
export const computeStallShare = ({ stalls, lives, endedAtMs }: SoakHistory): number => {
  const startedAtMs = Math.min(...lives.map((life) => life.startedAtMs));
  const stalledMs = stalls.reduce((sum, { fromMs, toMs }) => sum + toMs - fromMs, 0);
  return stalledMs / (endedAtMs - startedAtMs);
};

/** Judges a play; a breach that is no matter of time counts however busy the machine is. */
export const decideVerdict = (history: SoakHistory, findings: readonly Finding[]): Verdict => {
  const faults = findings.filter(({ rule }) => rule !== 'EARLY');
  if (faults.some(({ isTimed }) => !isTimed)) return 'failed';
  if (computeStallShare(history) > MAX_STALL_SHARE) return 'notJudged';
  return faults.length > 0 ? 'failed' : 'clean';
};
