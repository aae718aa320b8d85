import type { UpstreamRun } from '@goldcrestscale/adapter/standin/index.js';
import { groupBy } from '../groupBy.js';
import type { Finding, RequestRecord, SoakHistory } from '../history.js';

/** Bounds of the settings of all VMs of a soak. */
export const RETRY_LIMITS = { ratio: 0.2, allowance: 60, windowMs: 10_000 } as const;

const findService = ({ kind }: RequestRecord): string => (kind === 'stream' ? 'engines' : 'plain');

/** Runs beyond the first of their request, in the order of time. */
const listRepeats = (runs: readonly UpstreamRun[]): readonly number[] => {
  const byRequest = groupBy(runs, ({ requestId }) => requestId);
  return [...byRequest.values()]
    .flatMap((ones) =>
      ones
        .map(({ startedAtMs }) => startedAtMs)
        .toSorted((a, b) => a - b)
        .slice(1),
    )
    .toSorted((a, b) => a - b);
};

const countWithin = (times: readonly number[], fromMs: number, toMs: number): number =>
  times.filter((atMs) => atMs > fromMs && atMs <= toMs).length;

/** BUDGET: repeats at a service in a window, as its upstreams count them. */
export const checkRepeats = ({ requests, runs }: SoakHistory): Finding[] => {
  const { ratio, allowance, windowMs } = RETRY_LIMITS;
  const runsById = groupBy(runs, ({ requestId }) => requestId);
  return [...groupBy(requests, findService)].flatMap(([service, sent]): Finding[] => {
    const repeats = listRepeats(sent.flatMap(({ id }) => runsById.get(id) ?? []));
    const sentAtMs = sent.map((request) => request.sentAtMs);
    const worst = repeats
      .map((endMs) => {
        // The window itself, the one half a window earlier, and the one before it.
        const counts = [0, windowMs / 2, windowMs].map((earlierMs) =>
          countWithin(sentAtMs, endMs - earlierMs - windowMs, endMs - earlierMs),
        );
        const allowed = Math.max(...counts) * ratio + allowance;
        return { endMs, allowed, count: countWithin(repeats, endMs - windowMs, endMs) };
      })
      .find(({ count, allowed }) => count > allowed);
    if (!worst) return [];
    const text = `${service}: ${worst.count} repeats in a window, ${Math.floor(worst.allowed)} allowed`;
    return [{ rule: 'BUDGET', vmId: '', atMs: worst.endMs, text }];
  });
};
