import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { CallResult } from './caller.js';

/** Figures of one stretch of time. */
export class StretchFigures {
  readonly firstPrompts: Histogram = build();

  readonly returningPrompts: Histogram = build();

  readonly serviceCalls: Histogram = build();

  /** Prompt tokens that a caller had sent before, over all returning prompts. */
  seenTokens = 0;

  /** Those of them that were computed again. */
  recomputedTokens = 0;

  /** Prompt tokens of all whole answers. */
  promptTokens = 0;

  /** Prompt tokens of all whole answers that were found in a cache. */
  cachedTokens = 0;

  /** Requests that ended with a whole, right answer. */
  whole = 0;

  /** Whole answers whose text was not the right one. */
  wrong = 0;

  /** Requests that ended without an answer. */
  failed = 0;

  /** Attempts that were refused and repeated. */
  refusedAttempts = 0;

  /** Attempts whose connection broke or that found nobody, and were repeated. */
  brokenAttempts = 0;

  private readonly errors = new Map<string, number>();

  /** Counts of the errors that attempts ended with, by code. */
  get errorCounts(): ReadonlyMap<string, number> {
    return this.errors;
  }

  /** Records the attempts of one request and whether it ended well. */
  recordEnd(result: CallResult, isRight: boolean): void {
    result.earlier.forEach((attempt) => this.recordAttempt(attempt));
    if (result.last.type !== 'whole') {
      this.failed += 1;
      this.recordAttempt(result.last);
    } else if (isRight) this.whole += 1;
    else this.wrong += 1;
  }

  /** Records the prompt tokens of a returning prompt. */
  recordReturn(seenTokens: number, cachedTokens: number): void {
    this.seenTokens += seenTokens;
    this.recomputedTokens += Math.max(seenTokens - cachedTokens, 0);
  }

  private recordAttempt(attempt: CallResult['last']): void {
    if (attempt.type === 'error') this.refusedAttempts += 1;
    else this.brokenAttempts += 1;
    const name = attempt.type === 'error' ? attempt.code : attempt.type;
    this.errors.set(name, (this.errors.get(name) ?? 0) + 1);
  }
}

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
