import {
  BLOCK_CHUNK,
  buildEndlessRequest,
  EMPTY_FIELDS,
  formatChunkedHead,
  ONE_BYTE_CHUNKS,
} from '@goldcrestscale/adapter/standin/index.js';
import type { AnswerFault, EndlessBytes } from '@goldcrestscale/adapter/standin/index.js';
import type { PlanDraw } from './planDraw.js';
import type { PlanStep } from './planStep.js';
import { HOST } from './soakPlatform.js';
import type { VmPort } from './supervisedVm.js';

/** Steps that press on memory, descriptors and processor time of a VM. */

const ENDLESS_ANSWERS: readonly AnswerFault[] = [
  'endlessHead',
  'endlessBody',
  'endlessBodyInBytes',
  'endlessFailureInBytes',
];

const ENDLESS_LOG_ANSWERS: readonly EndlessBytes[] = [
  { opening: formatChunkedHead(200), piece: ONE_BYTE_CHUNKS },
  { opening: formatChunkedHead(200), piece: BLOCK_CHUNK },
  { opening: formatChunkedHead(503), piece: ONE_BYTE_CHUNKS },
  { opening: 'HTTP/1.1 200 OK\r\n', piece: EMPTY_FIELDS },
];

const FRAME_BYTES = 16_000;

const UNAUTHENTICATED: readonly { readonly port: VmPort; readonly bytes: EndlessBytes }[] = [
  { port: 'callers', bytes: buildEndlessRequest(HOST, ONE_BYTE_CHUNKS) },
  { port: 'callers', bytes: buildEndlessRequest(HOST, BLOCK_CHUNK) },
  { port: 'callers', bytes: { opening: 'GET / HTTP/1.1\r\n', piece: EMPTY_FIELDS } },
  { port: 'directory', bytes: { opening: 'GET / HTTP/1.1\r\n', piece: EMPTY_FIELDS } },
  { port: 'mesh', bytes: { opening: '\0\u00ff\u00ff\u00ff', piece: 'x'.repeat(FRAME_BYTES) } },
  { port: 'mesh', bytes: { opening: '', piece: '\0\0\0\u0001x'.repeat(FRAME_BYTES / 8) } },
];

/** Connections that are kept and say nothing, or half of something. */
const IDLE_OPENINGS = ['', 'GET / HTTP/1.1\r\nhost: so', '\0\u00ff'];

const IDLE_PORTS: readonly VmPort[] = ['callers', 'mesh', 'directory', 'metrics'];

/** More than the descriptors that a process of the soak may have. */
const IDLE_CONNECTIONS = 4_200;

const MAX_UNAUTHENTICATED = 20;

const drawEndlessAnswers = (draw: PlanDraw, atMs: number, upstreams: number): PlanStep[] => {
  const first = draw.next(0, upstreams - 1);
  const fault = draw.pick(ENDLESS_ANSWERS);
  const forMs = draw.next(2_000, 5_000);
  return Array.from({ length: draw.next(1, 4) }, (_value, index) => ({
    atMs,
    type: 'answers',
    upstream: (first + index) % upstreams,
    fault,
    forMs,
  }));
};

const drawCrowd = (draw: PlanDraw, atMs: number, vm: number): PlanStep[] => {
  const crowd = { atMs, type: 'crowd' as const, vm, callers: draw.next(200, 1_000) };
  if (draw.isChosen(50)) return [crowd];
  return [crowd, { atMs, type: 'freeze', vm, forMs: draw.next(500, 3_000) }];
};

/** A process stands still around its SIGTERM. */
const drawFrozenStop = (draw: PlanDraw, atMs: number, vm: number): PlanStep[] => [
  { atMs: atMs + draw.next(0, 600), type: 'freeze', vm, forMs: draw.next(100, 3_000) },
  { atMs: atMs + draw.next(0, 600), type: 'signal', vm, signal: 'SIGTERM' },
];

/** Several VMs are stopped in turn while the log is away. */
const drawStopsWithoutLog = (draw: PlanDraw, atMs: number, vms: number): PlanStep[] => {
  const gapMs = draw.next(200, 1_500);
  const first = draw.next(0, vms - 1);
  const stops = Array.from({ length: draw.next(2, 4) }, (_value, index) => ({
    atMs: atMs + draw.next(100, 400) + index * gapMs,
    type: 'signal' as const,
    vm: (first + index) % vms,
    signal: 'SIGTERM' as const,
  }));
  const fault = draw.pick(['refuse', 'silent'] as const);
  const forMs = stops.length * gapMs + draw.next(500, 3_000);
  return [{ atMs, type: 'logLink', vm: undefined, fault, forMs }, ...stops];
};

const drawIdle = (draw: PlanDraw, atMs: number, vm: number): PlanStep => ({
  atMs,
  type: 'unauthenticated',
  vm,
  port: draw.pick(IDLE_PORTS),
  connections: IDLE_CONNECTIONS,
  bytes: { opening: draw.pick(IDLE_OPENINGS), piece: '' },
  forMs: draw.next(2_000, 8_000),
});

/** Draws steps that press on one VM, or on all by the log or by upstreams. */
export const drawPressure = (
  draw: PlanDraw,
  atMs: number,
  vms: number,
  upstreams: number,
): readonly PlanStep[] => {
  const vm = draw.next(0, vms - 1);
  const forMs = draw.next(1_000, 5_000);
  switch (draw.next(0, 6)) {
    case 0:
      return drawEndlessAnswers(draw, atMs, upstreams);
    case 1:
      return [{ atMs, type: 'logAnswers', answer: draw.pick(ENDLESS_LOG_ANSWERS), forMs }];
    case 2: {
      const connections = draw.next(1, MAX_UNAUTHENTICATED);
      return [
        { atMs, type: 'unauthenticated', vm, ...draw.pick(UNAUTHENTICATED), connections, forMs },
      ];
    }
    case 3:
      return drawCrowd(draw, atMs, vm);
    case 4:
      return drawFrozenStop(draw, atMs, vm);
    case 5:
      return drawStopsWithoutLog(draw, atMs, vms);
    default:
      return [drawIdle(draw, atMs, vm)];
  }
};
