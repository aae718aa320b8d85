import type { Finding, LifeRecord, SignalRecord, SoakBounds, SoakHistory } from '../history.js';
import { measureLostTime } from '../lostTime.js';

const ENDING_SIGNALS: ReadonlySet<string> = new Set(['SIGTERM', 'SIGINT']);

const findFirstEnding = ({ signals }: LifeRecord): SignalRecord | undefined =>
  signals.find(({ signal }) => ENDING_SIGNALS.has(signal));

const isFrozen = ({ signals }: LifeRecord): boolean =>
  signals.some(({ signal }) => signal === 'SIGSTOP');

const describeSignals = ({ signals, startedAtMs }: LifeRecord): string =>
  signals
    .map(({ signal, atMs }) => `${signal} at ${Math.round(atMs - startedAtMs)} ms`)
    .join(', ') || 'no signal';

const describeEnd = (life: LifeRecord): string =>
  `pid ${life.pid} ended with ${life.exit?.signal ?? life.exit?.code} ` +
  `${Math.round((life.exit?.atMs ?? 0) - life.startedAtMs)} ms after its start (${describeSignals(life)})`;

const isEndOfRuntime = (life: LifeRecord, { runtimeStartCpuMs }: SoakBounds): boolean => {
  const last = life.signals.findLast(({ signal }) => signal === life.exit?.signal);
  return last !== undefined && last.cpuMs < runtimeStartCpuMs;
};

const checkEnd = (life: LifeRecord, bounds: SoakBounds): Finding[] => {
  const { exit, vmId, signals } = life;
  if (!exit) return [];
  const report = (rule: 'FAULT' | 'EARLY', text: string, isTimed = false): Finding[] => [
    { rule, vmId, atMs: exit.atMs, text, isTimed },
  ];
  const kill = signals.find(({ signal }) => signal === 'SIGKILL');
  if (kill && !kill.isOverdue) return [];
  const ending = findFirstEnding(life);
  if (kill) {
    const text = `pid ${life.pid} had not ended by ${bounds.shutdownMs} ms after its signal (${describeSignals(life)})`;
    return isFrozen(life) ? [] : report('FAULT', text, true);
  }
  if (exit.code === 0 && ending) return [];
  return report(isEndOfRuntime(life, bounds) ? 'EARLY' : 'FAULT', describeEnd(life));
};

/** Finds a span in which the process had to become ready and didn't. */
const checkReadiness = (
  life: LifeRecord,
  history: SoakHistory,
  { readyMs, stableMs }: SoakBounds,
): Finding[] => {
  const { impairments, endedAtMs } = history;
  const untilMs = Math.min(
    endedAtMs,
    life.exit?.atMs ?? Infinity,
    findFirstEnding(life)?.atMs ?? Infinity,
  );
  const troubles = impairments
    .filter(({ vmId }) => vmId === undefined || vmId === life.vmId)
    .toSorted((first, second) => first.fromMs - second.fromMs);
  let calmFromMs = life.startedAtMs;
  for (const { fromMs, toMs } of [...troubles, { fromMs: untilMs, toMs: untilMs }]) {
    const spanStartMs = calmFromMs;
    const spanEndMs = Math.min(fromMs, untilMs);
    const isReady = life.readyAtMs.some((atMs) => atMs >= spanStartMs && atMs <= spanEndMs);
    const lostMs = measureLostTime(life, history, spanStartMs, spanEndMs);
    if (spanEndMs - spanStartMs - lostMs > readyMs && !isReady) {
      const text = `pid ${life.pid} was not ready in ${Math.round(spanEndMs - spanStartMs)} ms without trouble`;
      return [{ rule: 'FAULT', vmId: life.vmId, atMs: spanEndMs, text, isTimed: true }];
    }
    // What a process lost in trouble it has back only after a calm span.
    calmFromMs = Math.max(calmFromMs, toMs + stableMs);
  }
  return [];
};

const checkMemory = (life: LifeRecord, { memoryMb }: SoakBounds): Finding[] =>
  life.peakMemoryMb > memoryMb
    ? [
        {
          rule: 'FAULT',
          vmId: life.vmId,
          atMs: life.startedAtMs,
          text: `pid ${life.pid} had ${Math.round(life.peakMemoryMb)} MB of memory`,
        },
      ]
    : [];

/** FAULT: processes that end by themselves, don't start, don't end in time or take too much memory. */
export const checkProcesses = (history: SoakHistory, bounds: SoakBounds): Finding[] =>
  history.lives.flatMap((life) => [
    ...checkEnd(life, bounds),
    ...checkReadiness(life, history, bounds),
    ...checkMemory(life, bounds),
  ]);
