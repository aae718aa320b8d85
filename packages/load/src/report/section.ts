import type { RequestResult } from '../client/index.js';
import { createLatencyRecorder } from './latency.js';
import type { LatencySummary } from './latency.js';

/** Counts by name. */
export type Counts = Readonly<Record<string, number>>;

/** Metrics of a run or of a part of it. */
export interface ReportSection {
  readonly name: string;
  readonly sent: number;
  /** Arrivals above the limit of requests in flight. */
  readonly notSent: number;
  readonly outcomes: Counts;
  /** Requests that ended with an error response, by error code. */
  readonly refusals: Counts;
  /** Requests by the combined verdict of their attempts. */
  readonly verdicts: Counts;
  /** Attempts by how they ended. */
  readonly attempts: Counts;
  /** Time to first token of new prompts. */
  readonly ttftFirst: LatencySummary;
  /** Time to first token of returning prompts. */
  readonly ttftReturning: LatencySummary;
  readonly total: LatencySummary;
  readonly tokenGap: LatencySummary;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Fraction of all prompt tokens that were computed, not served from the cache. */
  readonly recomputedShare: number;
  /** The same for returning prompts. */
  readonly returningRecomputedShare: number;
}

class LabelCounter {
  private readonly counts = new Map<string, number>();

  add(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  toCounts(): Counts {
    return Object.fromEntries([...this.counts].sort(([left], [right]) => (left < right ? -1 : 1)));
  }
}

const createTokenTotals = () => ({ prompt: 0, cached: 0 });

const computeRecomputedShare = ({
  prompt,
  cached,
}: ReturnType<typeof createTokenTotals>): number =>
  prompt === 0 ? 0 : Math.round((1 - cached / prompt) * 1e4) / 1e4;

/** Collects the results of a run or of a part of it. */
export interface SectionBuilder {
  addResult(result: RequestResult): void;
  addNotSent(): void;
  build(): ReportSection;
}

/** Creates the builder of one section. */
export const createSectionBuilder = (name: string): SectionBuilder => {
  const outcomes = new LabelCounter();
  const refusals = new LabelCounter();
  const verdicts = new LabelCounter();
  const attempts = new LabelCounter();
  const ttftFirst = createLatencyRecorder();
  const ttftReturning = createLatencyRecorder();
  const total = createLatencyRecorder();
  const tokenGap = createLatencyRecorder();
  const tokens = createTokenTotals();
  const returningTokens = createTokenTotals();
  let sent = 0;
  let notSent = 0;

  const addTokens = (result: RequestResult): void => {
    const totals = result.planned.turn > 0 ? [tokens, returningTokens] : [tokens];
    for (const group of totals) {
      group.prompt += result.promptTokens;
      group.cached += result.cachedTokens;
    }
  };

  const addLatencies = (result: RequestResult): void => {
    const ttft = result.planned.turn > 0 ? ttftReturning : ttftFirst;
    if (result.firstTokenMs !== undefined) ttft.observe(result.firstTokenMs);
    total.observe(result.totalMs);
    result.tokenGapsMs.forEach((gapMs) => tokenGap.observe(gapMs));
  };

  return {
    addResult: (result) => {
      sent += 1;
      outcomes.add(result.outcome);
      verdicts.add(result.verdict);
      result.attempts.forEach((attemptOutcome) => attempts.add(attemptOutcome.type));
      const last = result.attempts.at(-1);
      if (result.outcome === 'refused' && last?.type === 'refused') refusals.add(last.error.code);
      if (result.outcome === 'whole') addLatencies(result);
      addTokens(result);
    },
    addNotSent: () => {
      notSent += 1;
    },
    build: () => ({
      name,
      sent,
      notSent,
      outcomes: outcomes.toCounts(),
      refusals: refusals.toCounts(),
      verdicts: verdicts.toCounts(),
      attempts: attempts.toCounts(),
      ttftFirst: ttftFirst.buildSummary(),
      ttftReturning: ttftReturning.buildSummary(),
      total: total.buildSummary(),
      tokenGap: tokenGap.buildSummary(),
      promptTokens: tokens.prompt,
      cachedTokens: tokens.cached,
      recomputedShare: computeRecomputedShare(tokens),
      returningRecomputedShare: computeRecomputedShare(returningTokens),
    }),
  };
};
