import type { Histogram } from 'hdr-histogram-js';
import type { PhaseMetrics, NonIdempotentCallSummary } from '../site/callers/index.js';

/** Metrics of one phase of the demo: a row of its table. */
export interface DemoPhase {
  readonly name: string;
  readonly metrics: PhaseMetrics;
  readonly linkBytes: number;
  readonly linkUtilization: number;
}

const BYTES_PER_MEGABYTE = 1_000_000;

const formatPercentiles = (histogram: Histogram): string =>
  histogram.totalCount === 0
    ? '-'
    : `${histogram.getValueAtPercentile(50)} / ${histogram.getValueAtPercentile(95)}`;

const formatShare = (part: number, total: number): string =>
  total === 0 ? '-' : `${((part / total) * 100).toFixed(1)}%`;

const formatRow = ({ name, metrics, linkBytes, linkUtilization }: DemoPhase): readonly string[] => [
  name,
  formatPercentiles(metrics.firstPromptTtftMs),
  formatPercentiles(metrics.returningPromptTtftMs),
  formatShare(metrics.recomputedTokens, metrics.reusableTokens),
  `${(linkBytes / BYTES_PER_MEGABYTE).toFixed(0)} MB (${(linkUtilization * 100).toFixed(1)}%)`,
  formatPercentiles(metrics.nonIdempotentCallMs),
  `${metrics.correctAnswers}`,
  `${metrics.wrongAnswers}`,
  `${metrics.failedRequests}`,
  `${metrics.refusedAttempts} / ${metrics.brokenAttempts}`,
];

const HEADINGS = [
  'phase',
  'first prompt ttft ms',
  'returning ttft ms',
  'recomputed',
  'link use',
  'non-idempotent ms',
  'correct',
  'wrong',
  'failed',
  'refused / broken attempts',
];

/** Formats the metrics of all phases as a table; latencies are p50 / p95. */
export const formatTable = (phases: readonly DemoPhase[]): string => {
  const rows = [HEADINGS, ...phases.map(formatRow)];
  const widths = HEADINGS.map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  const lines = rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  '),
  );
  return lines.join('\n');
};

/** Formats the number of failed attempts of each phase by error code. */
export const formatErrors = (phases: readonly DemoPhase[]): string =>
  phases
    .filter(({ metrics }) => metrics.errorCounts.size > 0)
    .map(({ name, metrics }) => {
      const counts = [...metrics.errorCounts].map(([code, count]) => `${code} ${count}`);
      return `failed attempts, ${name}: ${counts.join(', ')}`;
    })
    .join('\n');

/** Results of a demo run, from which its verdict is derived. */
export interface DemoResult {
  readonly phases: readonly DemoPhase[];
  readonly nonIdempotentCalls: NonIdempotentCallSummary;
  readonly wrongBlockReads: number;
  readonly coldCrashes: number;
  /** Completions started by the zone's engines after the time allowed for draining the zone. */
  readonly requestsInDrainedZone: number;
}

/** Lists the violated guarantees with their counts. */
export const listViolations = (result: DemoResult): string[] => {
  const { phases, nonIdempotentCalls, wrongBlockReads, coldCrashes, requestsInDrainedZone } =
    result;
  const sum = (pick: (metrics: PhaseMetrics) => number): number =>
    phases.reduce((total, { metrics }) => total + pick(metrics), 0);
  const counts: readonly (readonly [string, number])[] = [
    ['wrong answers', sum((metrics) => metrics.wrongAnswers)],
    ['requests without an answer', sum((metrics) => metrics.failedRequests)],
    ['non-idempotent requests run more than once', nonIdempotentCalls.duplicatedCalls],
    ['non-idempotent requests answered but never run', nonIdempotentCalls.lostCalls],
    ['non-idempotent requests run but reported as not run', nonIdempotentCalls.falseNotRunCalls],
    ['prompts served from wrong blocks', wrongBlockReads],
    ['crashes of cold upstreams from too many requests', coldCrashes],
    ['requests started in a zone that was out of service', requestsInDrainedZone],
  ];
  return counts.filter(([, count]) => count > 0).map(([name, count]) => `${count} ${name}`);
};
