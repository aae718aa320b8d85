import { formatEvent, formatPlainAnswer } from '@goldcrestscale/adapter/standin/index.js';
import type { ReadAnswer, UpstreamRun } from '@goldcrestscale/adapter/standin/index.js';
import { groupBy } from '../groupBy.js';
import type { Finding, RequestRecord, SoakHistory, SoakRule } from '../history.js';

/** Statuses that promise that a request has not run and will not. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

const formatStream = ({ id, events }: RequestRecord): string =>
  Array.from({ length: events }, (_value, index) => formatEvent(id, index + 1)).join('');

const checkAnswer = (
  request: RequestRecord,
  answer: ReadAnswer,
): readonly (readonly [SoakRule, string])[] => {
  const { id, kind, bodyHash } = request;
  if (answer.requestId !== undefined && answer.requestId !== id) {
    return [['MIXED', `answered with the id ${answer.requestId}`]];
  }
  if (!isSuccess(answer.status)) {
    return answer.isSigned ? [['MIXED', `failure ${answer.status} bears a signature`]] : [];
  }
  if (!answer.isSigned) return [['MIXED', `success ${answer.status} without a signature`]];
  if (kind === 'stream') {
    return answer.body === formatStream(request)
      ? []
      : [['ORDER', `other events than those of its runs: ${answer.body.length} bytes`]];
  }
  return answer.body === formatPlainAnswer(id, bodyHash)
    ? []
    : [['MIXED', `another body: ${answer.body.slice(0, 60)}`]];
};

const checkRuns = (
  { kind, end, path, bodyHash }: RequestRecord,
  runs: readonly UpstreamRun[],
): readonly (readonly [SoakRule, string])[] => {
  const status = end?.type === 'answered' ? end.answer.status : 0;
  const isChanged = runs.some((run) => run.path !== path || run.bodyHash !== bodyHash);
  return [
    ...(kind === 'unsafe' && runs.length > 1
      ? [['TWICE', `ran ${runs.length} times`] as const]
      : []),
    ...(kind === 'unsafe' && runs.length > 0 && PROMISES.has(status)
      ? [['REFUSED', `answered ${status} and ran`] as const]
      : []),
    ...(isChanged ? [['UNASKED', 'ran with another path or body'] as const] : []),
  ];
};

/** MIXED, ORDER, TWICE, REFUSED and UNASKED: what callers got against what upstreams ran. */
export const checkRequests = ({ requests, runs, strays }: SoakHistory): Finding[] => {
  const runsById = groupBy(runs, ({ requestId }) => requestId);
  const known = new Set(requests.map(({ id }) => id));
  const broken = requests.flatMap((request): Finding[] => {
    const { id, kind, vmId, end, endedAtMs = 0 } = request;
    return [
      ...(end?.type === 'answered' ? checkAnswer(request, end.answer) : []),
      ...checkRuns(request, runsById.get(id) ?? []),
    ].map(([rule, text]) => ({ rule, vmId, atMs: endedAtMs, text: `${kind} ${id}: ${text}` }));
  });
  return [
    ...broken,
    ...strays.map((text): Finding => ({ rule: 'MIXED', vmId: '', atMs: 0, text })),
    ...runs
      .filter(({ requestId }) => !known.has(requestId))
      .map(({ requestId, startedAtMs }): Finding => {
        const text = `${requestId} ran and no caller sent it`;
        return { rule: 'UNASKED', vmId: '', atMs: startedAtMs, text };
      }),
  ];
};
