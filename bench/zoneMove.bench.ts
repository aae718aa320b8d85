import type { Benchmark, Measure } from './measure.js';
import { BASELINE_POLICIES, SiteModel } from './model/siteModel.js';
import type { RoutingPolicy, ZoneOutage } from './model/siteModel.js';
import { WARM_UP_MS } from './model/constants.js';
import { generateTrace } from './workloads/generate.js';
import type { TraceRequest, WorkloadShape } from './workloads/generate.js';
import { houtmeet } from './workloads/houtmeet.js';
import { kalahari } from './workloads/kalahari.js';

const MINUTE_MS = 60_000;
const STEADY_MS = 60 * MINUTE_MS;
const OUT_MS = 20 * MINUTE_MS;
const AFTER_MS = 10 * MINUTE_MS;
const DRAIN_MS = 10 * MINUTE_MS;

/** Zone with three of the eight engines and one of the two store VMs. */
const MOVE: ZoneOutage = {
  zone: 'b',
  outAtMs: WARM_UP_MS + STEADY_MS,
  backAtMs: WARM_UP_MS + STEADY_MS + OUT_MS,
};

const END_MS = MOVE.backAtMs + AFTER_MS;
const FIRST_TOKEN_RATIO = 1.5;
const RECOMPUTED_RATIO = 0.5;

const runMove = (policy: RoutingPolicy, trace: readonly TraceRequest[]) => {
  const record = new SiteModel(policy).run(trace, END_MS + DRAIN_MS, MOVE);
  return {
    policy,
    lost: record.accepted - record.finished,
    steady: record.computeStatistics(WARM_UP_MS, MOVE.outAtMs),
    moving: record.computeStatistics(MOVE.outAtMs, END_MS),
  };
};

const createMeasures = (shape: WorkloadShape): Measure[] => {
  const trace = generateTrace(shape, END_MS);
  const ours = runMove('ours', trace);
  const baselines = BASELINE_POLICIES.map((policy) => runMove(policy, trace));
  const { name } = shape;
  return [
    { name: `${name}: requests lost in a zone move`, ours: ours.lost, bound: 0 },
    {
      name: `${name}: ttft p95 in a zone move against steady (ms)`,
      baseline: ours.steady.p95Ms,
      ours: ours.moving.p95Ms,
      bound: FIRST_TOKEN_RATIO,
      boundOn: 'ratio',
    },
    {
      name: `${name}: recomputed tokens in a zone move`,
      baseline: Math.min(...baselines.map(({ moving }) => moving.recomputedTokens)),
      ours: ours.moving.recomputedTokens,
      bound: RECOMPUTED_RATIO,
      boundOn: 'ratio',
    },
    {
      name: `${name}: recomputed share in a zone move against steady`,
      baseline: ours.steady.recomputedShare,
      ours: ours.moving.recomputedShare,
    },
    ...baselines.map(({ policy, steady, moving }) => ({
      name: `${name}: ${policy} ttft p95 in a zone move against steady (ms)`,
      baseline: steady.p95Ms,
      ours: moving.p95Ms,
    })),
  ];
};

const benchmark: Benchmark = {
  name: 'availability zone out and back',
  run: () => Promise.resolve([houtmeet, kalahari].flatMap((shape) => createMeasures(shape))),
};

export default benchmark;
