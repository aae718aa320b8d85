/** How an unrepeatable call ended for its caller. */
export type UnrepeatableEnd = 'answered' | 'not-run' | 'unknown';

/** What callers know of their unrepeatable calls, to be judged by the service's counts. */
export class UnrepeatableLedger {
  private readonly ends = new Map<string, UnrepeatableEnd>();

  /** Records how a call ended, by its reference. */
  record(ref: string, end: UnrepeatableEnd): void {
    this.ends.set(ref, end);
  }

  /** Compares with what the service really ran. */
  compare(runs: Readonly<Record<string, number>>): UnrepeatableJudgement {
    const refs = [...this.ends.entries()];
    const count = (end: UnrepeatableEnd, isCounted: (runCount: number) => boolean): number =>
      refs.filter(([ref, found]) => found === end && isCounted(runs[ref] ?? 0)).length;
    return {
      calls: refs.length,
      answered: count('answered', () => true),
      unknown: count('unknown', () => true),
      ranTwice: Object.values(runs).filter((runCount) => runCount > 1).length,
      lost: count('answered', (runCount) => runCount === 0),
      falseRefusals: count('not-run', (runCount) => runCount > 0),
    };
  }
}

/** Outcome of the comparison. */
export interface UnrepeatableJudgement {
  readonly calls: number;
  readonly answered: number;
  /** Calls whose caller was told that they may have run. */
  readonly unknown: number;
  readonly ranTwice: number;
  /** Calls that were answered but never ran. */
  readonly lost: number;
  /** Calls that ran though their caller was told "not run". */
  readonly falseRefusals: number;
}
