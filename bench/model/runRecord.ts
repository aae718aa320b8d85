import { build } from 'hdr-histogram-js';
import type { TraceRequest } from '../workloads/generateTrace.js';

const MAX_TRACKABLE_MS = 3_600_000;

/** Request whose first token was generated. */
export interface AnsweredRequest {
  readonly atMs: number;
  readonly firstTokenMs: number;
  readonly returning: boolean;
  readonly promptTokens: number;
  /** Recomputed tokens that an earlier request had already computed. */
  readonly recomputedTokens: number;
}

/** Statistics of the requests that arrived within a time range. */
export interface RequestStatistics {
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly recomputedTokens: number;
  /** Recomputed tokens over all prompt tokens. */
  readonly recomputedShare: number;
}

/** Requests and outcomes of one run. */
export class RunRecord {
  accepted = 0;

  finished = 0;

  linkBytes = 0;

  readonly answeredRequests: AnsweredRequest[] = [];

  add(request: TraceRequest, firstTokenMs: number, cachedTokens: number): void {
    const {
      atMs,
      isReturning: returning,
      promptTokens,
      previouslyComputedTokens: knownTokens,
    } = request;
    const recomputedTokens = Math.max(0, knownTokens - cachedTokens);
    this.answeredRequests.push({ atMs, firstTokenMs, returning, promptTokens, recomputedTokens });
  }

  /** Computes figures for a time range; percentiles include only returning prompts. */
  computeStatistics(fromMs: number, toMs: number): RequestStatistics {
    const inRange = this.answeredRequests.filter(({ atMs }) => atMs >= fromMs && atMs < toMs);
    const histogram = build({
      highestTrackableValue: MAX_TRACKABLE_MS,
      numberOfSignificantValueDigits: 3,
    });
    inRange
      .filter(({ returning }) => returning)
      .forEach(({ firstTokenMs }) => histogram.recordValue(Math.max(1, Math.round(firstTokenMs))));
    const recomputedTokens = inRange.reduce((sum, one) => sum + one.recomputedTokens, 0);
    const promptTokens = inRange.reduce((sum, one) => sum + one.promptTokens, 0);
    return {
      count: inRange.length,
      p50Ms: histogram.getValueAtPercentile(50),
      p95Ms: histogram.getValueAtPercentile(95),
      recomputedTokens,
      recomputedShare: recomputedTokens / Math.max(1, promptTokens),
    };
  }
}
