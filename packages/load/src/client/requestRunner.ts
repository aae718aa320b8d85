import { combineVerdicts, sleep } from '@goldcrestscale/core';
import type { Verdict } from '@goldcrestscale/core';
import type { LoadToolSettings, Workload } from '../config.js';
import { DEFAULT_RETRY_MS } from '../constants.js';
import type { PlannedRequest } from '../workload/index.js';
import { getVerdict } from './attempt.js';
import type { Attempt, AttemptEnd } from './attempt.js';
import { buildPayload, getCallRef } from './buildPayload.js';
import type { PayloadContext } from './buildPayload.js';
import { isOwnAnswer } from './checkAnswer.js';
import type { EntryDirectory } from './entryDirectory.js';
import type { AttemptSender } from './sendAttempt.js';

/** How a request ended for its caller. */
export type Outcome =
  /** The whole answer to this very request came. */
  | 'whole'
  /** The last attempt was answered with an error. */
  | 'refused'
  /** An answer came, but not the one to this request. */
  | 'wrong'
  /** No answer came. */
  | 'failed';

/** What became of one planned request. */
export interface RequestResult {
  readonly planned: PlannedRequest;
  readonly outcome: Outcome;
  /** Worst verdict of the attempts. */
  readonly verdict: Verdict;
  readonly attempts: readonly AttemptEnd[];
  /** From the planned time to the first token, in milliseconds. */
  readonly firstTokenMs?: number;
  /** From the planned time to the end, in milliseconds. */
  readonly totalMs: number;
  readonly tokenGapsMs: readonly number[];
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Reference of an unrepeatable call. */
  readonly ref?: string;
}

/** What a runner sends with. */
export interface RequestRunnerOptions {
  readonly settings: Pick<LoadToolSettings, 'requestTimeoutMs' | 'maxAttempts' | 'addressOrder'>;
  readonly context: PayloadContext;
  readonly directory: EntryDirectory;
  readonly sender: AttemptSender;
}

/** Decides after how long an attempt is repeated; undefined ends the request. */
export const decideRetryMs = (end: AttemptEnd, workload: Workload): number | undefined => {
  if (end.type === 'whole') return undefined;
  if (end.type === 'unreachable') return 0;
  // The idempotency key makes a repeat of an unrepeatable call safe.
  if (end.type !== 'refused') return DEFAULT_RETRY_MS;
  const isUnrepeatable = workload.type === 'service' && workload.unrepeatable;
  if (end.error.verdict !== 'not-run' && isUnrepeatable) return undefined;
  return end.error.retryAfterMs;
};

const computeGaps = (timesMs: readonly number[]): number[] =>
  timesMs.slice(1).map((timeMs, index) => timeMs - (timesMs[index] ?? timeMs));

const decideOutcome = (end: AttemptEnd, isOwn: boolean): Outcome => {
  if (end.type === 'whole') return isOwn ? 'whole' : 'wrong';
  return end.type === 'refused' ? 'refused' : 'failed';
};

const hashSession = (session: string): number =>
  [...session].reduce((hash, char) => (hash * 31 + char.charCodeAt(0)) % 1_000_003, 7);

/** Sends one planned request, with failover and retries as a careful caller does. */
export class RequestRunner {
  constructor(private readonly options: RequestRunnerOptions) {}

  /** Runs a request whose planned time is `plannedAtMs` of the monotonic clock. */
  async run(
    planned: PlannedRequest,
    workload: Workload,
    plannedAtMs: number,
    signal: AbortSignal,
  ): Promise<RequestResult> {
    const { settings, context } = this.options;
    const timeout = AbortSignal.timeout(settings.requestTimeoutMs);
    const limit = AbortSignal.any([signal, timeout]);
    const ends: AttemptEnd[] = [];
    const last = await this.sendUntilSettled(planned, workload, limit, ends);
    const end = last?.end ?? { type: 'unreachable' };
    const [firstTimeMs] = last?.tokenTimesMs ?? [];
    const isOwn = last !== undefined && isOwnAnswer(context, planned, workload, last.text);
    const isUnrepeatable = workload.type === 'service' && workload.unrepeatable;
    return {
      planned,
      outcome: decideOutcome(end, isOwn),
      verdict: ends.map(getVerdict).reduce(combineVerdicts, 'not-run'),
      attempts: ends,
      totalMs: performance.now() - plannedAtMs,
      tokenGapsMs: computeGaps(last?.tokenTimesMs ?? []),
      promptTokens: last?.promptTokens ?? 0,
      cachedTokens: last?.cachedTokens ?? 0,
      ...(firstTimeMs === undefined ? {} : { firstTokenMs: firstTimeMs - plannedAtMs }),
      ...(isUnrepeatable ? { ref: getCallRef(context, planned) } : {}),
    };
  }

  private async sendUntilSettled(
    planned: PlannedRequest,
    workload: Workload,
    signal: AbortSignal,
    ends: AttemptEnd[],
  ): Promise<Attempt | undefined> {
    const { settings, context, directory, sender } = this.options;
    const payload = buildPayload(context, planned, workload);
    let last: Attempt | undefined;
    while (ends.length < settings.maxAttempts && !signal.aborted) {
      const addresses = await directory.getAddresses(planned.session, signal);
      const start = settings.addressOrder === 'session' ? hashSession(planned.session) : 0;
      const index = (start + ends.length) % Math.max(addresses.length, 1);
      const address = addresses[index];
      if (address === undefined || signal.aborted) break;
      last = await sender.send(address, payload, signal);
      ends.push(last.end);
      const retryMs = decideRetryMs(last.end, workload);
      if (retryMs === undefined || ends.length >= settings.maxAttempts) break;
      await sleep(retryMs, signal);
    }
    return last;
  }
}
