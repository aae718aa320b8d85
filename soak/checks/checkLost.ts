import type { UpstreamRun } from '@goldcrestscale/adapter/standin/index.js';
import { groupBy } from '../groupBy.js';
import type {
  Finding,
  ImpairmentRecord,
  LifeRecord,
  RequestRecord,
  SignalRecord,
  SoakBounds,
  SoakHistory,
} from '../history.js';
import { measureLostTime, sumStalls } from '../lostTime.js';

const SECOND_MS = 1_000;

/** Requests that a VM may cut at any time, in touch and without planned work. */
const ALLOWED_CUTS = 3;

/** A request that is still at work in this last part of a shutdown may be cut. */
const LAST_PART = 1 / 6;

/** Requests sent later than this after the signal must be kept even then. */
const SHUTDOWN_SENT_MS = 3_000;

const ENDING_SIGNALS: ReadonlySet<string> = new Set(['SIGTERM', 'SIGINT']);

/** Unplanned trouble; a port that is taken and a settings file in part are no reason to cut. */
const EXCUSES: ReadonlySet<string> = new Set(['kill', 'freeze', 'log', 'upstreamLinks']);

interface Cut {
  readonly request: RequestRecord;
  readonly runs: readonly UpstreamRun[];
  readonly endedAtMs: number;
  readonly signals: readonly SignalRecord[];
  readonly planned: readonly SignalRecord[];
}

const isImpaired = (
  { request, endedAtMs }: Cut,
  impairments: readonly ImpairmentRecord[],
  stableMs: number,
): boolean =>
  impairments.some(
    ({ vmId, kind, fromMs, toMs }) =>
      EXCUSES.has(kind) &&
      // Trouble of the log alone excuses nothing for requests that aren't streams.
      (kind !== 'log' || request.kind === 'stream') &&
      (vmId === undefined || vmId === request.vmId) &&
      fromMs <= endedAtMs &&
      toMs + stableMs >= request.sentAtMs,
  );

/** Whether the upstream broke off or the time of the request was over. */
const isExcused = ({ request, runs, endedAtMs }: Cut, { routeTimeoutMs }: SoakBounds): boolean =>
  runs.some(({ isUnsound }) => isUnsound) ||
  endedAtMs - request.sentAtMs >= Math.min(request.timeoutMs, routeTimeoutMs);

const isAtWorkAtTheEnd = (
  { request, runs, endedAtMs: cutAtMs }: Cut,
  atMs: number,
  shutdownMs: number,
): boolean =>
  request.sentAtMs <= atMs + SHUTDOWN_SENT_MS &&
  cutAtMs >= atMs + shutdownMs * (1 - LAST_PART) &&
  runs.some(
    ({ endedAtMs, startedAtMs }) =>
      startedAtMs <= atMs + shutdownMs &&
      (endedAtMs ?? Infinity) >= atMs + shutdownMs * (1 - LAST_PART),
  );

const findPlannedWork = (cut: Cut, bounds: SoakBounds): SignalRecord | undefined =>
  cut.planned.findLast(({ signal, atMs }) => {
    if (atMs > cut.endedAtMs) return false;
    if (signal === 'SIGHUP') {
      return (
        cut.request.sentAtMs <= atMs + bounds.applyMs && cut.endedAtMs - atMs <= bounds.shutdownMs
      );
    }
    return ENDING_SIGNALS.has(signal) && cut.endedAtMs <= atMs + bounds.shutdownMs + SECOND_MS;
  });

/** Signals of planned work; a shutdown begins with its first signal, whatever follows. */
const listPlanned = ({ signals }: LifeRecord): readonly SignalRecord[] => {
  const first = signals.find(({ signal }) => ENDING_SIGNALS.has(signal));
  return signals.filter((record) => record === first || record.signal === 'SIGHUP');
};

const listCuts = ({ requests, runs, lives }: SoakHistory): Cut[] => {
  const runsById = groupBy(runs, ({ requestId }) => requestId);
  const livesByVm = groupBy(lives, ({ vmId }) => vmId);
  return requests.flatMap((request) => {
    if (request.end?.type !== 'cut' || request.wholeAtMs === undefined) return [];
    const vmLives = livesByVm.get(request.vmId) ?? [];
    return [
      {
        request,
        runs: runsById.get(request.id) ?? [],
        endedAtMs: request.endedAtMs ?? 0,
        signals: vmLives.flatMap(({ signals }) => signals),
        planned: vmLives
          .filter(({ exit }) => exit === undefined || exit.atMs >= request.sentAtMs)
          .flatMap(listPlanned),
      },
    ];
  });
};

/** The process that cut a request. */
const findLife = ({ request, endedAtMs }: Cut, { lives }: SoakHistory): LifeRecord | undefined =>
  lives.findLast(({ vmId, startedAtMs }) => vmId === request.vmId && startedAtMs <= endedAtMs);

const checkPlanned = (cut: Cut, history: SoakHistory, bounds: SoakBounds): Finding[] => {
  const { request, runs, endedAtMs } = cut;
  const seenFromMs = Math.max(request.wholeAtMs ?? endedAtMs, request.readAgainAtMs);
  const afterMs = Math.round(endedAtMs - seenFromMs);
  const stalledMs = sumStalls(history, seenFromMs, endedAtMs);
  if (runs.length === 0 && afterMs - stalledMs <= bounds.lossSlackMs) return [];
  const lostMs = measureLostTime(findLife(cut, history), history, seenFromMs, endedAtMs);
  const isStarved = runs.length === 0 && afterMs - lostMs <= bounds.lossSlackMs;
  const isExcusedAtTheEnd = cut.planned.some(
    ({ signal, atMs }) =>
      ENDING_SIGNALS.has(signal) && isAtWorkAtTheEnd(cut, atMs, bounds.shutdownMs),
  );
  if (isExcusedAtTheEnd) return [];
  const work = findPlannedWork(cut, bounds);
  if (!work) return [];
  const sentMs = Math.round(request.sentAtMs - work.atMs);
  const text =
    `${request.kind} ${request.id} cut ${afterMs} ms after it was whole and read, with ${runs.length} runs, ` +
    `sent ${sentMs} ms and cut ${Math.round(endedAtMs - work.atMs)} ms after ${work.signal}`;
  return [{ rule: isStarved ? 'STARVED' : 'LOST', vmId: request.vmId, atMs: endedAtMs, text }];
};

const isInTouch = (
  { request, endedAtMs, signals }: Cut,
  lives: readonly LifeRecord[],
  { stableMs }: SoakBounds,
): boolean => {
  const times = [
    ...signals.filter(({ signal }) => signal !== 'SIGHUP').map(({ atMs }) => atMs),
    ...lives.filter(({ vmId }) => vmId === request.vmId).map(({ startedAtMs }) => startedAtMs),
  ];
  return !times.some((atMs) => atMs <= endedAtMs && atMs >= request.sentAtMs - stableMs);
};

/** LOST: requests that were read and got no answer, around planned work or at calm machines. */
export const checkLost = (history: SoakHistory, bounds: SoakBounds): Finding[] => {
  const cuts = listCuts(history).filter(
    (cut) => !isImpaired(cut, history.impairments, bounds.stableMs) && !isExcused(cut, bounds),
  );
  const planned = cuts.flatMap((cut) => checkPlanned(cut, history, bounds));
  const calm = cuts.filter((cut) => cut.runs.length > 0 && isInTouch(cut, history.lives, bounds));
  return [
    ...planned,
    ...(calm.length > ALLOWED_CUTS ? calm : []).map(({ request, endedAtMs }): Finding => ({
      rule: 'LOST',
      vmId: request.vmId,
      atMs: endedAtMs,
      text: `${request.kind} ${request.id} cut by a calm VM, one of ${calm.length}`,
    })),
  ];
};
