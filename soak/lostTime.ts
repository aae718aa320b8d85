import type { LifeRecord, SoakHistory } from './history.js';

/** Time in which a process waited for a processor, between two moments; never more than it was. */
export const measureWait = (
  { waits }: Pick<LifeRecord, 'waits'>,
  startMs: number,
  endMs: number,
): number => {
  const first = waits.find(({ atMs }) => atMs >= startMs);
  const last = waits.findLast(({ atMs }) => atMs <= endMs);
  return first && last ? Math.max(0, last.waitedMs - first.waitedMs) : 0;
};

/** Time in which the soak stood still between two moments. */
export const sumStalls = (
  { stalls }: Pick<SoakHistory, 'stalls'>,
  startMs: number,
  endMs: number,
): number =>
  stalls.reduce(
    (sum, { fromMs, toMs }) => sum + Math.max(0, Math.min(toMs, endMs) - Math.max(fromMs, startMs)),
    0,
  );

/** Time between two moments that a process or the soak didn't have. */
export const measureLostTime = (
  life: Pick<LifeRecord, 'waits'> | undefined,
  history: Pick<SoakHistory, 'stalls'>,
  startMs: number,
  endMs: number,
): number =>
  Math.max(life ? measureWait(life, startMs, endMs) : 0, sumStalls(history, startMs, endMs));
