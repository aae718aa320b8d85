import type { Finding, RequestRecord, SoakBounds, SoakHistory } from '../history.js';

/** Share of the requests that the fleet has to serve. */
const SERVED_SHARE = 0.25;

/** Fewer requests than these show nothing. */
const MIN_REQUESTS = 20;

/** Requests that are sent so late may have no answer when the play ends. */
const LAST_MS = 1_000;

const isServed = ({ end }: RequestRecord): boolean =>
  end?.type === 'answered' && end.answer.status < 300;

const computeServedShare = (requests: readonly RequestRecord[]): number =>
  requests.filter(isServed).length / requests.length;

/** RECOVER: the fleet serves few requests long after the last trouble, and served more before. */
export const checkRecovery = (
  { requests, impairments, lives, calmFromMs, endedAtMs }: SoakHistory,
  { recoverMs }: SoakBounds,
): Finding[] => {
  const lastTroubleMs = Math.max(
    calmFromMs,
    ...impairments.map(({ toMs }) => toMs),
    ...lives.map(({ startedAtMs }) => startedAtMs),
  );
  const fromMs = lastTroubleMs + recoverMs;
  const before = requests.filter(({ sentAtMs }) => sentAtMs < calmFromMs);
  const after = requests.filter(
    ({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs <= endedAtMs - LAST_MS,
  );
  const share = computeServedShare(after);
  if (after.length < MIN_REQUESTS || share >= SERVED_SHARE) return [];
  if (computeServedShare(before) < SERVED_SHARE) return [];
  const text = `${after.length} requests, ${Math.round(share * 100)} % served, ${recoverMs} ms after the last trouble`;
  return [{ rule: 'RECOVER', vmId: '', atMs: fromMs, text, isTimed: true }];
};
