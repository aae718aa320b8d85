import type { Histogram } from 'hdr-histogram-js';
import type { StretchFigures, UnrepeatableJudgement } from '../site/callers/index.js';

/** One line of the demo's table. */
export interface DemoStretch {
  readonly name: string;
  readonly figures: StretchFigures;
  readonly linkBytes: number;
  readonly linkShare: number;
}

const BYTES_PER_MEGABYTE = 1_000_000;

const formatPair = (histogram: Histogram): string =>
  histogram.totalCount === 0
    ? '-'
    : `${histogram.getValueAtPercentile(50)} / ${histogram.getValueAtPercentile(95)}`;

const formatShare = (part: number, whole: number): string =>
  whole === 0 ? '-' : `${((part / whole) * 100).toFixed(1)}%`;

const formatRow = ({ name, figures, linkBytes, linkShare }: DemoStretch): readonly string[] => [
  name,
  formatPair(figures.firstPrompts),
  formatPair(figures.returningPrompts),
  formatShare(figures.recomputedTokens, figures.seenTokens),
  `${(linkBytes / BYTES_PER_MEGABYTE).toFixed(0)} MB (${(linkShare * 100).toFixed(1)}%)`,
  formatPair(figures.serviceCalls),
  `${figures.whole}`,
  `${figures.wrong}`,
  `${figures.failed}`,
  `${figures.refusedAttempts} / ${figures.brokenAttempts}`,
];

const HEADINGS = [
  'stretch',
  'first prompt ms',
  'returning ms',
  'recomputed',
  'link use',
  'unrepeatable ms',
  'whole',
  'wrong',
  'failed',
  'refused / broken attempts',
];

/** Formats the figures of all stretches as a table; pairs are p50 / p95. */
export const formatTable = (stretches: readonly DemoStretch[]): string => {
  const rows = [HEADINGS, ...stretches.map(formatRow)];
  const widths = HEADINGS.map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  const lines = rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  '),
  );
  return lines.join('\n');
};

/** Formats the errors that attempts ended with. */
export const formatErrors = (stretches: readonly DemoStretch[]): string =>
  stretches
    .filter(({ figures }) => figures.errorCounts.size > 0)
    .map(({ name, figures }) => {
      const counts = [...figures.errorCounts].map(([code, count]) => `${code} ${count}`);
      return `attempts that were repeated or failed, ${name}: ${counts.join(', ')}`;
    })
    .join('\n');

/** What the verdict is given from. */
export interface VerdictFacts {
  readonly stretches: readonly DemoStretch[];
  readonly judgement: UnrepeatableJudgement;
  readonly wrongBlockReads: number;
  readonly coldFalls: number;
  /** Completions that engines of the zone began once it had been out for a few seconds. */
  readonly workInLeftZone: number;
}

/** Lists what went against the promises; empty where all of them held. */
export const listBreaches = (facts: VerdictFacts): string[] => {
  const { stretches, judgement, wrongBlockReads, coldFalls, workInLeftZone } = facts;
  const sum = (pick: (figures: StretchFigures) => number): number =>
    stretches.reduce((total, { figures }) => total + pick(figures), 0);
  const counts: readonly (readonly [string, number])[] = [
    ['wrong answers', sum((figures) => figures.wrong)],
    ['requests without an answer', sum((figures) => figures.failed)],
    ['unrepeatable requests run twice', judgement.ranTwice],
    ['unrepeatable requests lost', judgement.lost],
    ['unrepeatable requests run though refused as not run', judgement.falseRefusals],
    ['prompts served from wrong blocks', wrongBlockReads],
    ['cold upstreams that got more than they bear', coldFalls],
    ['requests begun in a zone that was out', workInLeftZone],
  ];
  return counts.filter(([, count]) => count > 0).map(([name, count]) => `${count} ${name}`);
};
