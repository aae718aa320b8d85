import type { Benchmark, Measurement } from './measurement.js';
import { countOracleRecomputedTokens } from './model/oracle.js';
import type { RequestStatistics } from './model/runRecord.js';
import { BASELINE_POLICIES, SiteModel } from './model/siteModel.js';
import type { RoutingPolicy } from './model/siteModel.js';
import { MEASUREMENT_MS, WARM_UP_MS } from './model/constants.js';
import { generateTrace } from './workloads/generateTrace.js';
import type { TraceRequest, WorkloadParameters } from './workloads/generateTrace.js';
import { houtmeet } from './workloads/houtmeet.js';
import { kalahari } from './workloads/kalahari.js';

const END_MS = WARM_UP_MS + MEASUREMENT_MS;
const DRAIN_MS = 600_000;
const MAX_TTFT_RATIO = 0.5;
const MAX_RECOMPUTED_RATIO = 0.4;
const MAX_ORACLE_RATIO = 1.25;

const runPolicy = (policy: RoutingPolicy, trace: readonly TraceRequest[]) => {
  const record = new SiteModel(policy).run(trace, END_MS + DRAIN_MS);
  return { record, statistics: record.computeStatistics(WARM_UP_MS, END_MS) };
};

const createMeasurements = (parameters: WorkloadParameters): Measurement[] => {
  const trace = generateTrace(parameters, END_MS);
  const measured = runPolicy('ours', trace);
  const baselines = BASELINE_POLICIES.map((policy) => ({ policy, ...runPolicy(policy, trace) }));
  const pickLowest = (pick: (statistics: RequestStatistics) => number): number =>
    Math.min(...baselines.map(({ statistics }) => pick(statistics)));
  const { name } = parameters;
  const seconds = END_MS / 1000;
  return [
    {
      name: `${name}: returning ttft p95 (ms)`,
      baseline: pickLowest((statistics) => statistics.p95Ms),
      measured: measured.statistics.p95Ms,
      ...(name === houtmeet.name ? { bound: MAX_TTFT_RATIO, boundOn: 'ratio' as const } : {}),
    },
    {
      name: `${name}: returning ttft p50 (ms)`,
      baseline: pickLowest((statistics) => statistics.p50Ms),
      measured: measured.statistics.p50Ms,
    },
    {
      name: `${name}: recomputed tokens`,
      baseline: pickLowest((statistics) => statistics.recomputedTokens),
      measured: measured.statistics.recomputedTokens,
      ...(name === kalahari.name ? { bound: MAX_RECOMPUTED_RATIO, boundOn: 'ratio' as const } : {}),
    },
    {
      name: `${name}: recomputed tokens against the oracle`,
      baseline: countOracleRecomputedTokens(trace, WARM_UP_MS, END_MS),
      measured: measured.statistics.recomputedTokens,
      ...(name === kalahari.name ? { bound: MAX_ORACLE_RATIO, boundOn: 'ratio' as const } : {}),
    },
    { name: `${name}: recomputed share`, measured: measured.statistics.recomputedShare },
    { name: `${name}: link use (bytes/s)`, measured: measured.record.linkBytes / seconds },
    {
      name: `${name}: requests lost`,
      measured: measured.record.accepted - measured.record.finished,
      bound: 0,
    },
    ...baselines.map(({ policy, statistics }) => ({
      name: `${name}: ${policy} ttft p95 (ms), recomputed share`,
      baseline: statistics.recomputedShare,
      measured: statistics.p95Ms,
    })),
  ];
};

const benchmark: Benchmark = {
  name: 'returning prompts',
  run: () =>
    Promise.resolve([houtmeet, kalahari].flatMap((parameters) => createMeasurements(parameters))),
};

export default benchmark;
