import type { AttemptEnd } from '@goldcrestscale/load';
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
    result.ends.forEach((end) => this.recordAttempt(end));
    if (result.last.end.type !== 'whole') this.failed += 1;
    else if (isRight) this.whole += 1;
    else this.wrong += 1;
  }

  /** Records the prompt tokens of a returning prompt. */
  recordReturn(seenTokens: number, cachedTokens: number): void {
    this.seenTokens += seenTokens;
    this.recomputedTokens += Math.max(seenTokens - cachedTokens, 0);
  }

  private recordAttempt(end: AttemptEnd): void {
    if (end.type === 'whole') return;
    if (end.type === 'refused') this.refusedAttempts += 1;
    else this.brokenAttempts += 1;
    const name = end.type === 'refused' ? end.error.code : end.type;
    this.errors.set(name, (this.errors.get(name) ?? 0) + 1);
  }
}
