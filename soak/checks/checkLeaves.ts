import type { UpstreamRun } from '@goldcrestscale/adapter/standin/index.js';
import type { Finding, SoakBounds, SoakHistory } from '../history.js';
import { sumStalls } from '../lostTime.js';

/** Whether a VM was in touch, and its ways unharmed, from the calm before a moment until a run began. */
const isInTouch = (
  vmId: string,
  startMs: number,
  { startedAtMs }: UpstreamRun,
  { lives, impairments }: SoakHistory,
): boolean => {
  const isHarmed = impairments.some(
    (one) =>
      (one.vmId === undefined || one.vmId === vmId) &&
      one.fromMs <= startedAtMs &&
      one.toMs >= startMs,
  );
  const isChanged = lives
    .filter((life) => life.vmId === vmId)
    .flatMap((life) => [life.startedAtMs, ...life.signals.map(({ atMs }) => atMs)])
    .some((atMs) => atMs >= startMs && atMs <= startedAtMs);
  return !isHarmed && !isChanged;
};

/** DRAIN: requests that a VM in touch sends to an upstream long after that has reported to leave. */
export const checkLeaves = (history: SoakHistory, { drainMs, stableMs }: SoakBounds): Finding[] => {
  const vmByRequest = new Map(history.requests.map(({ id, vmId }) => [id, vmId]));
  return history.leaves.flatMap(({ upstreamId, atMs }) =>
    history.runs.flatMap((run): Finding[] => {
      const vmId = vmByRequest.get(run.requestId);
      const lateMs = run.startedAtMs - atMs - drainMs;
      if (run.upstreamId !== upstreamId || vmId === undefined || lateMs <= 0) return [];
      if (lateMs <= sumStalls(history, atMs, run.startedAtMs)) return [];
      if (!isInTouch(vmId, atMs - stableMs, run, history)) return [];
      const text = `${run.requestId} ran at ${upstreamId} ${Math.round(lateMs + drainMs)} ms after it left`;
      return [{ rule: 'DRAIN', vmId, atMs: run.startedAtMs, text }];
    }),
  );
};
