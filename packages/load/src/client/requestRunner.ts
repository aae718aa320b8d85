import { combineVerdicts, sleep } from '@goldcrestscale/core';
import type { Verdict } from '@goldcrestscale/core';
import type { LoadToolSettings, Workload } from '../config.js';
import { DEFAULT_RETRY_DELAY_MS } from '../constants.js';
import type { PlannedRequest } from '../workload/index.js';
import { getVerdict } from './attempt.js';
import type { Attempt, AttemptOutcome } from './attempt.js';
import { buildPayload, getCallRef } from './buildPayload.js';
import type { PayloadContext } from './buildPayload.js';
import { isExpectedResponse } from './isExpectedResponse.js';
import type { EntryDirectory } from './entryDirectory.js';
import type { AttemptSender } from './attemptSender.js';

/** Outcome of a request for its caller. */
export type RequestOutcome =
  /** The complete and expected response arrived. */
  | 'whole'
  /** The last attempt got an error response. */
  | 'refused'
  /** A complete response arrived, but not the expected one. */
  | 'wrong'
  /** No complete response arrived. */
  | 'failed';

/** Result of one planned request. */
export interface RequestResult {
  readonly planned: PlannedRequest;
  readonly outcome: RequestOutcome;
  /** Combined verdict of the attempts. */
  readonly verdict: Verdict;
  readonly attempts: readonly AttemptOutcome[];
  /** Time from the planned start to the first token, in milliseconds. */
  readonly firstTokenMs?: number;
  /** Time from the planned start to the end, in milliseconds. */
  readonly totalMs: number;
  readonly tokenGapsMs: readonly number[];
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Reference under which the service counts a non-idempotent call. */
  readonly ref?: string;
}

/** Dependencies of a request runner. */
export interface RequestRunnerOptions {
  readonly settings: Pick<LoadToolSettings, 'requestTimeoutMs' | 'maxAttempts' | 'addressOrder'>;
  readonly context: PayloadContext;
  readonly directory: EntryDirectory;
  readonly sender: AttemptSender;
}

/** Computes the delay before the next attempt; undefined if the request must not be retried. */
export const computeRetryDelayMs = (
  attemptOutcome: AttemptOutcome,
  workload: Workload,
): number | undefined => {
  if (attemptOutcome.type === 'whole') return undefined;
  if (attemptOutcome.type === 'unreachable') return 0;
  // The idempotency key makes it safe to retry a non-idempotent call.
  if (attemptOutcome.type !== 'refused') return DEFAULT_RETRY_DELAY_MS;
  const isNonIdempotent = workload.type === 'service' && workload.unrepeatable;
  if (attemptOutcome.error.verdict !== 'not-run' && isNonIdempotent) return undefined;
  return attemptOutcome.error.retryAfterMs;
};

const computeTokenGapsMs = (arrivalTimesMs: readonly number[]): number[] =>
  arrivalTimesMs
    .slice(1)
    .map((arrivalMs, index) => arrivalMs - (arrivalTimesMs[index] ?? arrivalMs));

const decideOutcome = (attemptOutcome: AttemptOutcome, isExpected: boolean): RequestOutcome => {
  if (attemptOutcome.type === 'whole') return isExpected ? 'whole' : 'wrong';
  return attemptOutcome.type === 'refused' ? 'refused' : 'failed';
};

const hashSession = (session: string): number =>
  [...session].reduce((hash, char) => (hash * 31 + char.charCodeAt(0)) % 1_000_003, 7);

/** Sends planned requests with failover and retries, as a well-behaved client does. */
export class RequestRunner {
  constructor(private readonly options: RequestRunnerOptions) {}

  /** Runs a request whose planned start on the monotonic clock is `plannedAtMs`. */
  async run(
    planned: PlannedRequest,
    workload: Workload,
    plannedAtMs: number,
    signal: AbortSignal,
  ): Promise<RequestResult> {
    const { settings, context } = this.options;
    const timeout = AbortSignal.timeout(settings.requestTimeoutMs);
    const requestSignal = AbortSignal.any([signal, timeout]);
    const attemptOutcomes: AttemptOutcome[] = [];
    const last = await this.sendWithRetries(planned, workload, requestSignal, attemptOutcomes);
    const attemptOutcome = last?.outcome ?? { type: 'unreachable' };
    const [firstTokenAtMs] = last?.tokenArrivalTimesMs ?? [];
    const isExpected =
      last !== undefined && isExpectedResponse(context, planned, workload, last.text);
    const isNonIdempotent = workload.type === 'service' && workload.unrepeatable;
    return {
      planned,
      outcome: decideOutcome(attemptOutcome, isExpected),
      verdict: attemptOutcomes.map(getVerdict).reduce(combineVerdicts, 'not-run'),
      attempts: attemptOutcomes,
      totalMs: performance.now() - plannedAtMs,
      tokenGapsMs: computeTokenGapsMs(last?.tokenArrivalTimesMs ?? []),
      promptTokens: last?.promptTokens ?? 0,
      cachedTokens: last?.cachedTokens ?? 0,
      ...(firstTokenAtMs === undefined ? {} : { firstTokenMs: firstTokenAtMs - plannedAtMs }),
      ...(isNonIdempotent ? { ref: getCallRef(context, planned) } : {}),
    };
  }

  private async sendWithRetries(
    planned: PlannedRequest,
    workload: Workload,
    signal: AbortSignal,
    attemptOutcomes: AttemptOutcome[],
  ): Promise<Attempt | undefined> {
    const { settings, context, directory, sender } = this.options;
    const payload = buildPayload(context, planned, workload);
    let last: Attempt | undefined;
    while (attemptOutcomes.length < settings.maxAttempts && !signal.aborted) {
      const addresses = await directory.getAddresses(planned.session, signal);
      const start = settings.addressOrder === 'session' ? hashSession(planned.session) : 0;
      const index = (start + attemptOutcomes.length) % Math.max(addresses.length, 1);
      const address = addresses[index];
      if (address === undefined || signal.aborted) break;
      last = await sender.send(address, payload, signal);
      attemptOutcomes.push(last.outcome);
      const retryDelayMs = computeRetryDelayMs(last.outcome, workload);
      if (retryDelayMs === undefined || attemptOutcomes.length >= settings.maxAttempts) break;
      await sleep(retryDelayMs, signal);
    }
    return last;
  }
}
