import type {
  AnswerFault,
  StandInAnswer,
  LinkFault,
} from '@goldcrestscale/adapter/standin/index.js';
import type { SoakSignal } from './history.js';
import { PlanDraw } from './planDraw.js';
import type { FaultPlan, PlanStep } from './planStep.js';
import { drawPressure } from './pressurePlan.js';
import type { NextStart, VmPort } from './supervisedVm.js';

/** Size of the plans that seeds draw. */
export interface PlanShape {
  readonly minVms: number;
  readonly maxVms: number;
  readonly minDurationMs: number;
  readonly maxDurationMs: number;
  readonly quietMs: number;
}

/** Plans of a run by hand. */
export const FULL_SHAPE: PlanShape = {
  minVms: 7,
  maxVms: 9,
  minDurationMs: 20_000,
  maxDurationMs: 40_000,
  quietMs: 15_000,
};

/** Plans of a run beside other load. */
export const SHORT_SHAPE: PlanShape = {
  minVms: 3,
  maxVms: 3,
  minDurationMs: 14_000,
  maxDurationMs: 16_000,
  quietMs: 2_000,
};

const UPSTREAMS = 8;

/** No step comes so late that its effect could not be seen. */
const QUIET_END_MS = 4_000;

const STEP_INTERVAL_MS = 1_100;

const PRESSURE_PERCENT = 25;

const VM_PORTS: readonly VmPort[] = [
  'callers',
  'readiness',
  'directory',
  'mesh',
  'meshDatagrams',
  'metrics',
];

const LINK_FAULTS: readonly LinkFault[] = [
  'delay',
  'reset',
  'cutUp',
  'cutDown',
  'silent',
  'refuse',
];

const ANSWER_FAULTS: readonly AnswerFault[] = [
  'cutHead',
  'cutBody',
  'badStatus',
  'extraAnswer',
  'silent',
];

const LOG_ANSWERS: readonly StandInAnswer[] = [
  { status: 503 },
  { status: 429 },
  { status: 500, body: 'no' },
  { status: 410, body: '{}' },
  { status: 200 },
  { status: 200, body: '{"items":[{"key":1}],"end":"x"}' },
  { status: 200, body: Buffer.alloc(40, 0xff).toString('latin1') },
];

const NOISES = [
  '',
  '\0\0\0\u0010',
  '\u00ff'.repeat(2_000),
  'GET / HTTP/1.1\r\n\r\n',
  'POST /unsafe/1 HTTP/1.1\r\nhost: soak.example\r\ncontent-length: 50\r\n\r\nhalf',
  'GET /plain/1 HTTP/1.1\r\nhost: soak.example\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
  `GET /${'a'.repeat(20_000)} HTTP/1.1\r\n`,
  '{"kind":"x"}\n',
];

const SHUTDOWN_SIGNALS: readonly SoakSignal[] = ['SIGTERM', 'SIGTERM', 'SIGINT', 'SIGHUP'];

const drawNextStart = (draw: PlanDraw): NextStart => ({
  early: Array.from({ length: draw.next(0, 2) }, () => ({
    afterMs: draw.next(5, 300),
    signal: draw.pick<SoakSignal>(['SIGHUP', 'SIGHUP', 'SIGTERM']),
  })),
  heldPort: draw.isChosen(30) ? draw.pick(VM_PORTS) : undefined,
  portHeldMs: draw.next(200, 1_500),
  settingsPartMs: draw.isChosen(20) ? draw.next(50, 1_000) : 0,
});

/** Restarts of one VM, or of several at once. */
const drawRestarts = (draw: PlanDraw, atMs: number, vms: number): PlanStep[] => {
  const first = draw.next(0, vms - 1);
  const count = draw.isChosen(75) ? 1 : draw.next(2, 4);
  const signal = draw.isChosen(70) ? 'SIGTERM' : 'SIGKILL';
  return Array.from({ length: count }, (_value, index) => ({
    atMs,
    type: 'restart',
    vm: (first + index) % vms,
    signal,
    ...drawNextStart(draw),
  }));
};

/** A SIGTERM to one or several VMs, repeated, in a series or overlapping. */
const drawSeries = (draw: PlanDraw, startMs: number, vms: number): PlanStep[] => {
  const count = draw.next(1, 3);
  const first = draw.next(0, vms - 1);
  const gapMs = draw.next(0, 1_500);
  return Array.from({ length: count }, (_value, index) => (first + index) % vms).flatMap(
    (vm, index) => {
      const atMs = startMs + index * gapMs;
      const repeats = Array.from({ length: draw.next(0, 3) }, () => ({
        type: 'signal' as const,
        vm,
        signal: draw.pick(SHUTDOWN_SIGNALS),
        atMs: atMs + draw.next(1, draw.isChosen(50) ? 60 : 2_000),
      }));
      return [{ atMs, type: 'signal' as const, vm, signal: 'SIGTERM' as const }, ...repeats];
    },
  );
};

const drawSignals = (draw: PlanDraw, atMs: number, vms: number): PlanStep[] => {
  const vm = draw.next(0, vms - 1);
  if (draw.isChosen(25)) return [{ atMs, type: 'signal', vm, signal: 'SIGHUP' }];
  if (draw.isChosen(25)) {
    return [{ atMs, type: 'freeze', vm, forMs: draw.next(100, 3_000) }];
  }
  return drawRestarts(draw, atMs, vms);
};

const drawTrouble = (draw: PlanDraw, atMs: number, vms: number): PlanStep => {
  const upstream = draw.next(0, UPSTREAMS - 1);
  const forMs = draw.next(300, 4_000);
  switch (draw.next(0, 7)) {
    case 0: {
      const vm = draw.isChosen(40) ? undefined : draw.next(0, vms - 1);
      return { atMs, type: 'logLink', vm, fault: draw.pick(LINK_FAULTS), forMs };
    }
    case 1:
      return { atMs, type: 'upstreamLink', upstream, fault: draw.pick(LINK_FAULTS), forMs };
    case 2:
      return { atMs, type: 'crash', upstream, forMs };
    case 3:
      return { atMs, type: 'leave', upstream, forMs };
    case 4:
      return { atMs, type: 'answers', upstream, fault: draw.pick(ANSWER_FAULTS), forMs };
    case 5:
      return { atMs, type: 'logAnswers', answer: draw.pick(LOG_ANSWERS), forMs };
    case 6: {
      const vm = draw.next(0, vms - 1);
      return { atMs, type: 'noise', vm, port: draw.pick(VM_PORTS), bytes: draw.pick(NOISES) };
    }
    default:
      return { atMs, type: 'configuration' };
  }
};

const drawSteps = (draw: PlanDraw, atMs: number, vms: number): readonly PlanStep[] => {
  if (draw.isChosen(PRESSURE_PERCENT)) return drawPressure(draw, atMs, vms, UPSTREAMS);
  if (draw.isChosen(30)) return drawSeries(draw, atMs, vms);
  if (draw.isChosen(45)) return drawSignals(draw, atMs, vms);
  if (draw.isChosen(25)) {
    const vm = draw.next(0, vms - 1);
    const partMs = draw.next(50, 1_000);
    return [{ atMs, type: 'settings', vm, partMs, hasSignal: draw.isChosen(60) }];
  }
  return [drawTrouble(draw, atMs, vms)];
};

/** Draws the plan of a seed. */
export const drawFaultPlan = (seed: number, shape = FULL_SHAPE): FaultPlan => {
  const draw = new PlanDraw(seed);
  const vms = draw.next(shape.minVms, shape.maxVms);
  const durationMs = draw.next(shape.minDurationMs, shape.maxDurationMs);
  const lastMs = durationMs - QUIET_END_MS;
  const steps: PlanStep[] = [];
  for (let atMs = 0; atMs < lastMs; atMs += draw.next(100, 2 * STEP_INTERVAL_MS)) {
    steps.push(...drawSteps(draw, atMs, vms));
  }
  return {
    seed,
    vms,
    upstreams: UPSTREAMS,
    durationMs,
    quietMs: shape.quietMs,
    steps: steps
      .filter(({ atMs }) => atMs < durationMs)
      .toSorted((first, second) => first.atMs - second.atMs),
  };
};
