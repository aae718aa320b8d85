import type { CallResult, NonIdempotentCallSummary } from '../../scripts/site/callers/index.js';
import { NonIdempotentCallTracker } from '../../scripts/site/callers/index.js';

/** Result of a non-idempotent call, with the reference that the service counts its runs under. */
export interface TrackedCall {
  readonly ref: string;
  readonly result: CallResult;
}

const getOutcome = (result: CallResult): 'answered' | 'not-run' | 'unknown' => {
  if (result.lastAttempt.outcome.type === 'whole') return 'answered';
  return result.verdict === 'not-run' ? 'not-run' : 'unknown';
};

/** Compares the outcomes reported to clients with the runs that the service counted. */
export const checkNonIdempotentCalls = (
  calls: readonly TrackedCall[],
  runs: Readonly<Record<string, number>>,
): NonIdempotentCallSummary => {
  const tracker = new NonIdempotentCallTracker();
  calls.forEach(({ ref, result }) => tracker.record(ref, getOutcome(result)));
  return tracker.compareWithRuns(runs);
};

/** Counts that must be zero in every summary: the guarantees for non-idempotent calls. */
export const noViolations = { duplicatedCalls: 0, lostCalls: 0, falseNotRunCalls: 0 } as const;
