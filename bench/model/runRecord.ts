import { build } from 'hdr-histogram-js';
import type { TraceRequest } from '../workloads/generate.js';

const HIGHEST_MS = 3_600_000;

/** One answered request. */
export interface Answered {
  readonly atMs: number;
  readonly firstTokenMs: number;
  readonly returning: boolean;
  readonly promptTokens: number;
  /** Tokens computed again that an earlier request had computed. */
  readonly recomputedTokens: number;
}

/** Figures over the requests that came in a span of time. */
export interface Figures {
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly recomputedTokens: number;
  /** Recomputed tokens over all prompt tokens. */
  readonly recomputedShare: number;
}

/** What happened to the requests of one run. */
export class RunRecord {
  accepted = 0;

  finished = 0;

  linkBytes = 0;

  readonly answered: Answered[] = [];

  add(request: TraceRequest, firstTokenMs: number, cachedTokens: number): void {
    const { atMs, returning, promptTokens, knownTokens } = request;
    const recomputedTokens = Math.max(0, knownTokens - cachedTokens);
    this.answered.push({ atMs, firstTokenMs, returning, promptTokens, recomputedTokens });
  }

  /** Computes figures over a span; times are those of returning prompts only. */
  computeFigures(fromMs: number, toMs: number): Figures {
    const span = this.answered.filter(({ atMs }) => atMs >= fromMs && atMs < toMs);
    const histogram = build({
      highestTrackableValue: HIGHEST_MS,
      numberOfSignificantValueDigits: 3,
    });
    span
      .filter(({ returning }) => returning)
      .forEach(({ firstTokenMs }) => histogram.recordValue(Math.max(1, Math.round(firstTokenMs))));
    const recomputedTokens = span.reduce((sum, one) => sum + one.recomputedTokens, 0);
    const promptTokens = span.reduce((sum, one) => sum + one.promptTokens, 0);
    return {
      count: span.length,
      p50Ms: histogram.getValueAtPercentile(50),
      p95Ms: histogram.getValueAtPercentile(95),
      recomputedTokens,
      recomputedShare: recomputedTokens / Math.max(1, promptTokens),
    };
  }
}
