import type { Finding, SoakHistory, SoakRule } from '../history.js';

/** What a play of a seed shows; `notJudged` if the machine was too busy to tell. */
export type Verdict = 'clean' | 'failed' | 'notJudged';

/** Largest share of its time for which the soak may stand still, and still judge matters of time. */
export const MAX_STALL_SHARE = 0.5;

const NO_BREACHES: ReadonlySet<SoakRule> = new Set(['EARLY', 'STARVED']);

/** Findings that break a rule. */
export const listBreaches = (findings: readonly Finding[]): readonly Finding[] =>
  findings.filter(({ rule }) => !NO_BREACHES.has(rule));

/** Share of its time for which the soak itself stood still. */
export const computeStallShare = ({ stalls, lives, endedAtMs }: SoakHistory): number => {
  const startedAtMs = Math.min(...lives.map((life) => life.startedAtMs));
  const stalledMs = stalls.reduce((sum, { fromMs, toMs }) => sum + toMs - fromMs, 0);
  return stalledMs / (endedAtMs - startedAtMs);
};

/** Judges a play; a breach that is no matter of time counts however busy the machine is. */
export const decideVerdict = (history: SoakHistory, findings: readonly Finding[]): Verdict => {
  const faults = listBreaches(findings);
  if (faults.some(({ isTimed }) => !isTimed)) return 'failed';
  if (computeStallShare(history) > MAX_STALL_SHARE) return 'notJudged';
  return faults.length > 0 ? 'failed' : 'clean';
};
