import type { Benchmark, Measure } from './measure.js';
import { countOracleRecomputedTokens } from './model/oracle.js';
import type { RequestStatistics } from './model/runRecord.js';
import { BASELINE_POLICIES, SiteModel } from './model/siteModel.js';
import type { RoutingPolicy } from './model/siteModel.js';
import { MEASUREMENT_MS, WARM_UP_MS } from './model/constants.js';
import { generateTrace } from './workloads/generate.js';
import type { TraceRequest, WorkloadShape } from './workloads/generate.js';
import { houtmeet } from './workloads/houtmeet.js';
import { kalahari } from './workloads/kalahari.js';

const END_MS = WARM_UP_MS + MEASUREMENT_MS;
const DRAIN_MS = 600_000;
const FIRST_TOKEN_RATIO = 0.5;
const RECOMPUTED_RATIO = 0.4;
const ORACLE_RATIO = 1.25;

const runPolicy = (policy: RoutingPolicy, trace: readonly TraceRequest[]) => {
  const record = new SiteModel(policy).run(trace, END_MS + DRAIN_MS);
  return { record, figures: record.computeStatistics(WARM_UP_MS, END_MS) };
};

const createMeasures = (shape: WorkloadShape): Measure[] => {
  const trace = generateTrace(shape, END_MS);
  const ours = runPolicy('ours', trace);
  const baselines = BASELINE_POLICIES.map((policy) => ({ policy, ...runPolicy(policy, trace) }));
  const pickBest = (pick: (figures: RequestStatistics) => number): number =>
    Math.min(...baselines.map(({ figures }) => pick(figures)));
  const { name } = shape;
  const seconds = END_MS / 1000;
  return [
    {
      name: `${name}: returning ttft p95 (ms)`,
      baseline: pickBest((figures) => figures.p95Ms),
      ours: ours.figures.p95Ms,
      ...(name === houtmeet.name ? { bound: FIRST_TOKEN_RATIO, boundOn: 'ratio' as const } : {}),
    },
    {
      name: `${name}: returning ttft p50 (ms)`,
      baseline: pickBest((figures) => figures.p50Ms),
      ours: ours.figures.p50Ms,
    },
    {
      name: `${name}: recomputed tokens`,
      baseline: pickBest((figures) => figures.recomputedTokens),
      ours: ours.figures.recomputedTokens,
      ...(name === kalahari.name ? { bound: RECOMPUTED_RATIO, boundOn: 'ratio' as const } : {}),
    },
    {
      name: `${name}: recomputed tokens against the oracle`,
      baseline: countOracleRecomputedTokens(trace, WARM_UP_MS, END_MS),
      ours: ours.figures.recomputedTokens,
      ...(name === kalahari.name ? { bound: ORACLE_RATIO, boundOn: 'ratio' as const } : {}),
    },
    { name: `${name}: recomputed share`, ours: ours.figures.recomputedShare },
    { name: `${name}: link use (bytes/s)`, ours: ours.record.linkBytes / seconds },
    {
      name: `${name}: requests lost`,
      ours: ours.record.accepted - ours.record.finished,
      bound: 0,
    },
    ...baselines.map(({ policy, figures }) => ({
      name: `${name}: ${policy} ttft p95 (ms), recomputed share`,
      baseline: figures.recomputedShare,
      ours: figures.p95Ms,
    })),
  ];
};

const benchmark: Benchmark = {
  name: 'returning prompts',
  run: () => Promise.resolve([houtmeet, kalahari].flatMap((shape) => createMeasures(shape))),
};

export default benchmark;
