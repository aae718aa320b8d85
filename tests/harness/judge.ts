import type { CallResult, UnrepeatableJudgement } from '../../scripts/site/callers/index.js';
import { UnrepeatableLedger } from '../../scripts/site/callers/index.js';

/** An unrepeatable call with its reference. */
export interface ReferencedCall {
  readonly ref: string;
  readonly result: CallResult;
}

const decideEnd = (result: CallResult): 'answered' | 'not-run' | 'unknown' => {
  if (result.last.end.type === 'whole') return 'answered';
  return result.verdict === 'not-run' ? 'not-run' : 'unknown';
};

/** Compares what callers were told with what the service ran. */
export const judgeCalls = (
  calls: readonly ReferencedCall[],
  runs: Readonly<Record<string, number>>,
): UnrepeatableJudgement => {
  const ledger = new UnrepeatableLedger();
  calls.forEach(({ ref, result }) => ledger.record(ref, decideEnd(result)));
  return ledger.compare(runs);
};

/** What a judgement must say of the promises, whatever else happened. */
export const keptPromises = { ranTwice: 0, lost: 0, falseRefusals: 0 } as const;
