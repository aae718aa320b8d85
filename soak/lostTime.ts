import type { LifeRecord, SoakHistory } from './history.js';

interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Spans in which a process waited for a processor; the system tells of a wait when it is over. */
const listWaits = ({ waits }: Pick<LifeRecord, 'waits'>): Span[] =>
  waits.slice(1).flatMap(({ atMs, waitedMs }, index) => {
    const growthMs = waitedMs - waits[index]!.waitedMs;
    return growthMs > 0 ? [{ fromMs: atMs - growthMs, toMs: atMs }] : [];
  });

/** Time between two moments that spans cover, which may overlap. */
const sumSpans = (spans: readonly Span[], startMs: number, endMs: number): number => {
  let sumMs = 0;
  let coveredMs = startMs;
  spans
    .toSorted((first, second) => first.fromMs - second.fromMs)
    .forEach(({ fromMs, toMs }) => {
      const lastMs = Math.min(toMs, endMs);
      sumMs += Math.max(0, lastMs - Math.max(fromMs, coveredMs));
      coveredMs = Math.max(coveredMs, lastMs);
    });
  return sumMs;
};

/** Time in which the soak stood still between two moments. */
export const sumStalls = (
  { stalls }: Pick<SoakHistory, 'stalls'>,
  startMs: number,
  endMs: number,
): number => sumSpans(stalls, startMs, endMs);

/** Time between two moments in which a process waited for a processor, or the soak stood still. */
export const measureLostTime = (
  life: Pick<LifeRecord, 'waits'> | undefined,
  { stalls }: Pick<SoakHistory, 'stalls'>,
  startMs: number,
  endMs: number,
): number => sumSpans([...(life ? listWaits(life) : []), ...stalls], startMs, endMs);
