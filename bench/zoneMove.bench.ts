import type { Benchmark, Measurement } from './measurement.js';
import { BASELINE_POLICIES, SiteModel } from './model/siteModel.js';
import type { RoutingPolicy, ZoneOutage } from './model/siteModel.js';
import { WARM_UP_MS } from './model/constants.js';
import { generateTrace } from './workloads/generateTrace.js';
import type { TraceRequest, WorkloadParameters } from './workloads/generateTrace.js';
import { houtmeet } from './workloads/houtmeet.js';
import { kalahari } from './workloads/kalahari.js';

const MINUTE_MS = 60_000;
const STEADY_MS = 60 * MINUTE_MS;
const OUTAGE_MS = 20 * MINUTE_MS;
const RECOVERY_MS = 10 * MINUTE_MS;
const DRAIN_MS = 10 * MINUTE_MS;

/** Outage of the zone with three of the eight engines and one of the two store VMs. */
const OUTAGE: ZoneOutage = {
  zone: 'b',
  outAtMs: WARM_UP_MS + STEADY_MS,
  backAtMs: WARM_UP_MS + STEADY_MS + OUTAGE_MS,
};

const END_MS = OUTAGE.backAtMs + RECOVERY_MS;
const MAX_TTFT_RATIO = 1.5;
const MAX_RECOMPUTED_RATIO = 0.5;

const runWithOutage = (policy: RoutingPolicy, trace: readonly TraceRequest[]) => {
  const record = new SiteModel(policy).run(trace, END_MS + DRAIN_MS, OUTAGE);
  return {
    policy,
    lostCount: record.accepted - record.finished,
    steady: record.computeStatistics(WARM_UP_MS, OUTAGE.outAtMs),
    outageAndRecovery: record.computeStatistics(OUTAGE.outAtMs, END_MS),
  };
};

const createMeasurements = (parameters: WorkloadParameters): Measurement[] => {
  const trace = generateTrace(parameters, END_MS);
  const measured = runWithOutage('ours', trace);
  const baselines = BASELINE_POLICIES.map((policy) => runWithOutage(policy, trace));
  const { name } = parameters;
  return [
    { name: `${name}: requests lost in a zone move`, measured: measured.lostCount, bound: 0 },
    {
      name: `${name}: ttft p95 in a zone move against steady (ms)`,
      baseline: measured.steady.p95Ms,
      measured: measured.outageAndRecovery.p95Ms,
      bound: MAX_TTFT_RATIO,
      boundOn: 'ratio',
    },
    {
      name: `${name}: recomputed tokens in a zone move`,
      baseline: Math.min(
        ...baselines.map(({ outageAndRecovery }) => outageAndRecovery.recomputedTokens),
      ),
      measured: measured.outageAndRecovery.recomputedTokens,
      bound: MAX_RECOMPUTED_RATIO,
      boundOn: 'ratio',
    },
    {
      name: `${name}: recomputed share in a zone move against steady`,
      baseline: measured.steady.recomputedShare,
      measured: measured.outageAndRecovery.recomputedShare,
    },
    ...baselines.map(({ policy, steady, outageAndRecovery }) => ({
      name: `${name}: ${policy} ttft p95 in a zone move against steady (ms)`,
      baseline: steady.p95Ms,
      measured: outageAndRecovery.p95Ms,
    })),
  ];
};

const benchmark: Benchmark = {
  name: 'availability zone out and back',
  run: () =>
    Promise.resolve([houtmeet, kalahari].flatMap((parameters) => createMeasurements(parameters))),
};

export default benchmark;
