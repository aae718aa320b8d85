import type { Finding, SoakBounds, SoakHistory } from '../history.js';
import { checkAttempts } from './checkAttempts.js';
import { checkDrain } from './checkDrain.js';
import { checkLeaves } from './checkLeaves.js';
import { checkLost } from './checkLost.js';
import { checkProcesses } from './checkProcesses.js';
import { checkRecovery } from './checkRecovery.js';
import { checkRepeats } from './checkRepeats.js';
import { checkRequests } from './checkRequests.js';

export { computeStallShare, decideVerdict, listBreaches } from './decideVerdict.js';
export type { Verdict } from './decideVerdict.js';

/** Checks all rules, and gives the findings in the order of time. */
export const checkHistory = (history: SoakHistory, bounds: SoakBounds): readonly Finding[] =>
  [
    ...checkProcesses(history, bounds),
    ...checkLost(history, bounds),
    ...checkRequests(history),
    ...checkDrain(history),
    ...checkLeaves(history, bounds),
    ...checkAttempts(history),
    ...checkRepeats(history),
    ...checkRecovery(history, bounds),
  ].toSorted((first, second) => first.atMs - second.atMs);
