import { formatColumns } from '@goldcrestscale/runtime';
import type { Report } from './report.js';
import type { ReportSection } from './section.js';

/** One metric of two reports. */
export interface MetricComparison {
  readonly section: string;
  readonly measure: string;
  readonly left: number;
  readonly right: number;
  /** right / left; absent if left is 0. */
  readonly ratio?: number;
}

type Metric = readonly [name: string, read: (section: ReportSection) => number];

const METRICS: readonly Metric[] = [
  ['sent', (section) => section.sent],
  ['whole', (section) => section.outcomes.whole ?? 0],
  ['refused', (section) => section.outcomes.refused ?? 0],
  ['failed', (section) => section.outcomes.failed ?? 0],
  ['wrong', (section) => section.outcomes.wrong ?? 0],
  ['ttft first p50 ms', (section) => section.ttftFirst.p50Ms],
  ['ttft first p95 ms', (section) => section.ttftFirst.p95Ms],
  ['ttft returning p50 ms', (section) => section.ttftReturning.p50Ms],
  ['ttft returning p95 ms', (section) => section.ttftReturning.p95Ms],
  ['ttft returning p99 ms', (section) => section.ttftReturning.p99Ms],
  ['token gap p95 ms', (section) => section.tokenGap.p95Ms],
  ['recomputed share', (section) => section.recomputedShare],
  ['recomputed share of returning', (section) => section.returningRecomputedShare],
];

/** Compares the sections that occur in both reports. */
export const compareReports = (left: Report, right: Report): MetricComparison[] =>
  left.sections.flatMap((section) => {
    const other = right.sections.find(({ name }) => name === section.name);
    if (!other) return [];
    return METRICS.map(([measure, read]) => {
      const values = { left: read(section), right: read(other) };
      const ratio = values.left === 0 ? {} : { ratio: values.right / values.left };
      return { section: section.name, measure, ...values, ...ratio };
    });
  });

/** Formats two reports side by side. */
export const formatComparison = (left: Report, right: Report): string =>
  formatColumns([
    ['section', 'measure', left.name, right.name, 'ratio'],
    ...compareReports(left, right).map((row) => [
      row.section,
      row.measure,
      String(row.left),
      String(row.right),
      row.ratio === undefined ? '-' : row.ratio.toFixed(2),
    ]),
  ]);
