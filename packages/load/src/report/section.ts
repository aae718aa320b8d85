import type { RequestResult } from '../client/index.js';
import { createLatencyRecorder } from './latency.js';
import type { LatencySummary } from './latency.js';

/** Counts by name. */
export type Counts = Readonly<Record<string, number>>;

/** Figures of a run, or of a part of it. */
export interface ReportSection {
  readonly name: string;
  readonly sent: number;
  /** Arrivals beyond the bound on requests under way. */
  readonly notSent: number;
  readonly outcomes: Counts;
  /** Final refusals by error code. */
  readonly refusals: Counts;
  /** Requests by the worst verdict of their attempts. */
  readonly verdicts: Counts;
  /** Attempts by their end. */
  readonly attempts: Counts;
  /** Time to first token of new prompts. */
  readonly ttftFirst: LatencySummary;
  /** Time to first token of returning prompts. */
  readonly ttftReturning: LatencySummary;
  readonly total: LatencySummary;
  readonly tokenGap: LatencySummary;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Share of all prompt tokens that were computed. */
  readonly recomputedShare: number;
  /** The same over returning prompts. */
  readonly returningRecomputedShare: number;
}

class Counter {
  private readonly counts = new Map<string, number>();

  add(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  toCounts(): Counts {
    return Object.fromEntries([...this.counts].sort(([left], [right]) => (left < right ? -1 : 1)));
  }
}

const createTokenCount = () => ({ prompt: 0, cached: 0 });

const computeShare = ({ prompt, cached }: ReturnType<typeof createTokenCount>): number =>
  prompt === 0 ? 0 : Math.round((1 - cached / prompt) * 1e4) / 1e4;

/** Collects the results of a run, or of a part of it. */
export interface SectionBuilder {
  addResult(result: RequestResult): void;
  addNotSent(): void;
  build(): ReportSection;
}

/** Creates the collector of one section. */
export const createSectionBuilder = (name: string): SectionBuilder => {
  const outcomes = new Counter();
  const refusals = new Counter();
  const verdicts = new Counter();
  const attempts = new Counter();
  const ttftFirst = createLatencyRecorder();
  const ttftReturning = createLatencyRecorder();
  const total = createLatencyRecorder();
  const tokenGap = createLatencyRecorder();
  const tokens = createTokenCount();
  const returningTokens = createTokenCount();
  let sent = 0;
  let notSent = 0;

  const addTokens = (result: RequestResult): void => {
    const groups = result.planned.turn > 0 ? [tokens, returningTokens] : [tokens];
    for (const group of groups) {
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
      result.attempts.forEach((end) => attempts.add(end.type));
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
      recomputedShare: computeShare(tokens),
      returningRecomputedShare: computeShare(returningTokens),
    }),
  };
};
