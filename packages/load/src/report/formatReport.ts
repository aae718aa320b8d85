import { formatColumns } from '@goldcrestscale/runtime';
import type { LatencySummary } from './latency.js';
import type { Report } from './report.js';
import type { Counts, ReportSection } from './section.js';

type Column = readonly [title: string, render: (section: ReportSection) => string];

const formatMs = (valueMs: number): string => valueMs.toFixed(1);

const formatLatency = ({ count, p50Ms, p95Ms, p99Ms }: LatencySummary): string =>
  count === 0 ? '-' : [p50Ms, p95Ms, p99Ms].map(formatMs).join(' / ');

const formatShare = (share: number): string => `${(share * 100).toFixed(1)}%`;

const formatCounts = (counts: Counts): string =>
  Object.entries(counts)
    .map(([name, count]) => `${name} ${count}`)
    .join(', ') || 'none';

const COLUMNS: readonly Column[] = [
  ['section', (section) => section.name],
  ['sent', (section) => String(section.sent)],
  ['whole', (section) => String(section.outcomes.whole ?? 0)],
  ['ttft first p50/p95/p99 ms', (section) => formatLatency(section.ttftFirst)],
  ['ttft returning ms', (section) => formatLatency(section.ttftReturning)],
  ['token gap ms', (section) => formatLatency(section.tokenGap)],
  ['total ms', (section) => formatLatency(section.total)],
  [
    'recomputed',
    (section) => (section.promptTokens === 0 ? '-' : formatShare(section.recomputedShare)),
  ],
  [
    'of returning',
    (section) => (section.promptTokens === 0 ? '-' : formatShare(section.returningRecomputedShare)),
  ],
];

/** Formats a report as text. */
export const formatReport = (report: Report): string => {
  const [total] = report.sections;
  const rows = report.sections.map((section) => COLUMNS.map(([, render]) => render(section)));
  const { once } = report;
  return [
    `${report.name}: ${report.planned} requests planned in ${report.elapsedMs} ms, seed ${report.seed}`,
    formatColumns([COLUMNS.map(([title]) => title), ...rows]),
    ...(total
      ? [
          `outcomes: ${formatCounts(total.outcomes)}; not sent: ${total.notSent}`,
          `refusals: ${formatCounts(total.refusals)}`,
          `verdicts: ${formatCounts(total.verdicts)}`,
          `attempts: ${formatCounts(total.attempts)}`,
        ]
      : []),
    once.counted
      ? `unrepeatable calls: ${once.calls}; doubled ${once.doubled.length}, lost ${once.lost.length}, false "not run" ${once.falseNotRun.length}`
      : `unrepeatable calls: ${once.calls}; not counted by their services`,
    report.faults.length === 0 ? 'verdict: good' : `verdict: BAD: ${report.faults.join('; ')}`,
  ].join('\n');
};
