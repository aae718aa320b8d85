import { formatPlainAnswer } from '@goldcrestscale/adapter/standin/index.js';
import type { UpstreamRun } from '@goldcrestscale/adapter/standin/index.js';
import type {
  LifeRecord,
  RequestRecord,
  SignalRecord,
  SoakBounds,
  SoakHistory,
  SoakSignal,
} from '../../history.js';

export const BOUNDS: SoakBounds = {
  shutdownMs: 8_000,
  lossSlackMs: 200,
  applyMs: 2_000,
  drainMs: 2_000,
  stableMs: 3_000,
  readyMs: 8_000,
  recoverMs: 12_000,
  memoryMb: 200,
  routeTimeoutMs: 10_000,
  runtimeStartCpuMs: 40,
};

export const createHistory = (parts: Partial<SoakHistory>): SoakHistory => ({
  requests: [],
  runs: [],
  lives: [],
  impairments: [],
  strays: [],
  stalls: [],
  configurationsAtMs: [],
  leaves: [],
  calmFromMs: 20_000,
  endedAtMs: 40_000,
  ...parts,
});

export const createSignal = (
  signal: SoakSignal,
  atMs: number,
  rest: Partial<SignalRecord> = {},
): SignalRecord => ({ signal, atMs, cpuMs: 500, isOverdue: false, ...rest });

export const createLife = (parts: Partial<LifeRecord>): LifeRecord => ({
  vmId: 'vm-0',
  pid: 1,
  startedAtMs: 0,
  signals: [],
  readyAtMs: [1_000],
  waits: [],
  peakMemoryMb: 70,
  exit: undefined,
  ...parts,
});

export const createRequest = (parts: Partial<RequestRecord>): RequestRecord => ({
  id: 'c0-0',
  kind: 'unsafe',
  vmId: 'vm-0',
  path: '/unsafe/0',
  bodyHash: 'hash',
  timeoutMs: 6_000,
  events: 0,
  sentAtMs: 10_000,
  wholeAtMs: 10_010,
  readAgainAtMs: 0,
  end: {
    type: 'answered',
    answer: {
      status: 200,
      requestId: 'c0-0',
      isSigned: true,
      body: formatPlainAnswer('c0-0', 'hash'),
    },
  },
  endedAtMs: 10_100,
  ...parts,
});

export const createRun = (parts: Partial<UpstreamRun>): UpstreamRun => ({
  requestId: 'c0-0',
  upstreamId: 'u-0-0',
  method: 'POST',
  path: '/unsafe/0',
  bodyHash: 'hash',
  startedAtMs: 10_020,
  endedAtMs: 10_090,
  isUnsound: false,
  ...parts,
});

export const createCut = (endedAtMs: number, parts: Partial<RequestRecord> = {}): RequestRecord =>
  createRequest({ end: { type: 'cut', hasPart: false }, endedAtMs, ...parts });
