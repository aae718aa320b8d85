import { z } from 'zod';
import type { RequestResult } from '../client/index.js';
import type { LoadToolSettings } from '../config.js';
import type { PlannedRequest } from '../workload/index.js';
import { checkAtMostOnce } from './atMostOnceCheck.js';
import type { AtMostOnceResult, RunCounts } from './atMostOnceCheck.js';
import { createSectionBuilder } from './section.js';
import type { ReportSection, SectionBuilder } from './section.js';

/** Report of a run. */
export interface Report {
  readonly name: string;
  readonly seed: number;
  readonly startedAt: string;
  readonly elapsedMs: number;
  readonly planned: number;
  /** The whole run first, then each workload, then each window. */
  readonly sections: readonly ReportSection[];
  readonly once: AtMostOnceResult;
  /** Reasons why the run failed; empty if every check passed. */
  readonly faults: readonly string[];
}

const latencySchema = z.object({
  count: z.number(),
  meanMs: z.number(),
  p50Ms: z.number(),
  p95Ms: z.number(),
  p99Ms: z.number(),
  maxMs: z.number(),
});
const countsSchema = z.record(z.string(), z.number());

/** Schema of a saved report. */
export const reportSchema: z.ZodType<Report> = z.object({
  name: z.string(),
  seed: z.number(),
  startedAt: z.string(),
  elapsedMs: z.number(),
  planned: z.number(),
  sections: z.array(
    z.object({
      name: z.string(),
      sent: z.number(),
      notSent: z.number(),
      outcomes: countsSchema,
      refusals: countsSchema,
      verdicts: countsSchema,
      attempts: countsSchema,
      ttftFirst: latencySchema,
      ttftReturning: latencySchema,
      total: latencySchema,
      tokenGap: latencySchema,
      promptTokens: z.number(),
      cachedTokens: z.number(),
      recomputedShare: z.number(),
      returningRecomputedShare: z.number(),
    }),
  ),
  once: z.object({
    calls: z.number(),
    counted: z.boolean(),
    doubled: z.array(z.string()),
    lost: z.array(z.string()),
    falseNotRun: z.array(z.string()),
  }),
  faults: z.array(z.string()),
});

/** Collects the results of a run. */
export interface ReportBuilder {
  addResult(result: RequestResult): void;
  addNotSent(planned: PlannedRequest): void;
  build(elapsedMs: number, counts: RunCounts | undefined): Report;
}

/** Settings that a report depends on. */
export type ReportSettings = Pick<LoadToolSettings, 'name' | 'seed' | 'workloads' | 'windows'>;

const listFaults = (total: ReportSection, once: AtMostOnceResult): string[] =>
  [
    [total.outcomes.wrong, 'answers to another request or with other text'],
    [total.outcomes.failed, 'requests without an answer'],
    [total.attempts.truncated, 'answers that ended in silence'],
    [once.counted ? 0 : once.calls, 'unrepeatable calls that no service counted'],
    [once.doubled.length, 'unrepeatable calls that ran more than once'],
    [once.lost.length, 'unrepeatable calls that were answered but did not run'],
    [once.falseNotRun.length, 'calls that ran although "not run" was told'],
  ].flatMap(([count, fault]) => (count ? [`${count} ${fault}`] : []));

/** Creates the report builder of a run. */
export const createReportBuilder = (
  settings: ReportSettings,
  plannedCount: number,
): ReportBuilder => {
  const startedAt = new Date().toISOString();
  const total = createSectionBuilder('total');
  const workloads = new Map(
    settings.workloads.map(({ name }) => [name, createSectionBuilder(name)]),
  );
  const windows = settings.windows.map((window) => ({
    ...window,
    section: createSectionBuilder(window.name),
  }));
  const calls: RequestResult[] = [];

  const selectSections = ({ workload, atMs }: PlannedRequest): SectionBuilder[] => {
    const workloadSection = workloads.get(workload);
    return [
      total,
      ...(workloadSection ? [workloadSection] : []),
      ...windows
        .filter(({ fromMs, toMs }) => atMs >= fromMs && atMs < toMs)
        .map(({ section }) => section),
    ];
  };

  return {
    addResult: (result) => {
      selectSections(result.planned).forEach((section) => section.addResult(result));
      if (result.ref !== undefined) calls.push(result);
    },
    addNotSent: (planned) => {
      selectSections(planned).forEach((section) => section.addNotSent());
    },
    build: (elapsedMs, counts) => {
      const sections = [total, ...workloads.values(), ...windows.map(({ section }) => section)];
      const once = checkAtMostOnce(calls, counts);
      return {
        name: settings.name,
        seed: settings.seed,
        startedAt,
        elapsedMs: Math.round(elapsedMs),
        planned: plannedCount,
        sections: sections.map((section) => section.build()),
        once,
        faults: listFaults(total.build(), once),
      };
    },
  };
};
