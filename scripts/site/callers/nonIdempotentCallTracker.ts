/** Outcome of a non-idempotent call as reported to its client. */
export type CallOutcome = 'answered' | 'not-run' | 'unknown';

/** Records the reported outcomes of non-idempotent calls, to compare them with the service's runs. */
export class NonIdempotentCallTracker {
  private readonly outcomes = new Map<string, CallOutcome>();

  /** Records the outcome of the call with the given reference. */
  record(ref: string, outcome: CallOutcome): void {
    this.outcomes.set(ref, outcome);
  }

  /** Compares the reported outcomes with the service's number of runs by reference. */
  compareWithRuns(runs: Readonly<Record<string, number>>): NonIdempotentCallSummary {
    const recordedOutcomes = [...this.outcomes.entries()];
    const count = (outcome: CallOutcome, isCounted: (runCount: number) => boolean): number =>
      recordedOutcomes.filter(
        ([ref, recorded]) => recorded === outcome && isCounted(runs[ref] ?? 0),
      ).length;
    return {
      calls: recordedOutcomes.length,
      answered: count('answered', () => true),
      unknown: count('unknown', () => true),
      duplicatedCalls: Object.values(runs).filter((runCount) => runCount > 1).length,
      lostCalls: count('answered', (runCount) => runCount === 0),
      falseNotRunCalls: count('not-run', (runCount) => runCount > 0),
    };
  }
}

/** Result of comparing reported outcomes with actual runs. */
export interface NonIdempotentCallSummary {
  readonly calls: number;
  readonly answered: number;
  /** Calls whose client was told that they may have run. */
  readonly unknown: number;
  readonly duplicatedCalls: number;
  /** Calls that were answered but never ran. */
  readonly lostCalls: number;
  /** Calls that ran although their client was told "not run". */
  readonly falseNotRunCalls: number;
}
