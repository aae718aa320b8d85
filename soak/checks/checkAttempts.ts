import { groupBy } from '../groupBy.js';
import type { Finding, SoakHistory } from '../history.js';

/** Attempts of the routes whose requests may be repeated. */
const ROUTE_ATTEMPTS = 2;

/** Requests that may run on more upstreams than that. */
const ALLOWED_REQUESTS = 3;

/** BUDGET: requests that run on more upstreams than their route allows; those that failed don't count. */
export const checkAttempts = ({ requests, runs, impairments }: SoakHistory): Finding[] => {
  const links = impairments.filter(({ kind }) => kind === 'upstreamLinks');
  const sound = runs.filter(
    ({ isUnsound, startedAtMs, endedAtMs = Infinity }) =>
      !isUnsound && !links.some(({ fromMs, toMs }) => fromMs <= endedAtMs && toMs >= startedAtMs),
  );
  const runsById = groupBy(sound, ({ requestId }) => requestId);
  const over = requests.flatMap(({ id, vmId, sentAtMs, kind }): Finding[] => {
    const upstreams = new Set(runsById.get(id)?.map(({ upstreamId }) => upstreamId));
    if (upstreams.size <= ROUTE_ATTEMPTS) return [];
    const text = `${kind} ${id} ran on ${upstreams.size} sound upstreams`;
    return [{ rule: 'BUDGET', vmId, atMs: sentAtMs, text }];
  });
  return over.length > ALLOWED_REQUESTS ? over : [];
};
