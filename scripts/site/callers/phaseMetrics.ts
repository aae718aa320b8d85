import type { AttemptOutcome } from '@goldcrestscale/load';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { CallResult } from './retryingClient.js';

/** Client-side metrics of one phase of a run. */
export class PhaseMetrics {
  readonly firstPromptTtftMs: Histogram = build();

  readonly returningPromptTtftMs: Histogram = build();

  readonly nonIdempotentCallMs: Histogram = build();

  /** Prompt tokens that were already part of the conversation's previous prompt. */
  reusableTokens = 0;

  /** Reusable tokens that were not found in a cache and were computed again. */
  recomputedTokens = 0;

  /** Prompt tokens of all completed requests. */
  promptTokens = 0;

  /** Prompt tokens of all completed requests that were served from a cache. */
  cachedTokens = 0;

  /** Requests that ended with a complete, correct answer. */
  correctAnswers = 0;

  /** Requests that ended with a complete answer whose text was wrong. */
  wrongAnswers = 0;

  /** Requests that ended without a complete answer. */
  failedRequests = 0;

  /** Attempts that ended with an error response. */
  refusedAttempts = 0;

  /** Attempts whose connection failed or was closed before the end of the answer. */
  brokenAttempts = 0;

  private readonly errors = new Map<string, number>();

  /** Number of failed attempts by error code, or by kind of connection failure. */
  get errorCounts(): ReadonlyMap<string, number> {
    return this.errors;
  }

  /** Records the attempts and the result of one request. */
  recordResult(result: CallResult, isCorrect: boolean): void {
    result.attemptEnds.forEach((end) => this.recordAttempt(end));
    if (result.lastAttempt.outcome.type !== 'whole') this.failedRequests += 1;
    else if (isCorrect) this.correctAnswers += 1;
    else this.wrongAnswers += 1;
  }

  /** Records how much of a returning prompt was reusable and how much was cached. */
  recordReturn(reusableTokens: number, cachedTokens: number): void {
    this.reusableTokens += reusableTokens;
    this.recomputedTokens += Math.max(reusableTokens - cachedTokens, 0);
  }

  private recordAttempt(end: AttemptOutcome): void {
    if (end.type === 'whole') return;
    if (end.type === 'refused') this.refusedAttempts += 1;
    else this.brokenAttempts += 1;
    const name = end.type === 'refused' ? end.error.code : end.type;
    this.errors.set(name, (this.errors.get(name) ?? 0) + 1);
  }
}
