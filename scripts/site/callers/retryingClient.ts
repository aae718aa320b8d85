import { setTimeout as sleep } from 'node:timers/promises';
import { combineVerdicts } from '@goldcrestscale/core';
import type { Verdict } from '@goldcrestscale/core';
import { generateIdempotencyKey, getVerdict } from '@goldcrestscale/load';
import type {
  Attempt,
  AttemptOutcome,
  AttemptSender,
  EntryDirectory,
  RequestPayload,
} from '@goldcrestscale/load';

const DEFAULT_RETRY_MS = 200;
const ATTEMPT_TIMEOUT_MS = 20_000;

/** Final result of a client's request, after its retries. */
export interface CallResult {
  readonly lastAttempt: Attempt;
  /** End of each attempt, including the last one. */
  readonly attemptEnds: readonly AttemptOutcome[];
  /** Most pessimistic verdict over all attempts, as to whether the request has run. */
  readonly verdict: Verdict;
  /** Time from the first attempt to the first part of the final answer. */
  readonly firstTokenMs: number;
}

/** Identity of a client and its retry limits. */
export interface RetryingClientOptions {
  readonly apiKey: string;
  readonly directory: EntryDirectory;
  readonly sender: AttemptSender;
  /** Time since the first attempt after which no further attempt is made. */
  readonly timeoutMs: number;
  /** Index of the entry VM for the first attempt, so that clients spread over the entry VMs. */
  readonly firstEntryIndex?: number;
}

/** A call to a plain service. */
export interface ServiceRequest {
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly nonIdempotent: boolean;
  readonly idempotencyKey?: string;
}

/** Creates a directory with a fixed list of entry VMs, which is never refreshed. */
export const createFixedDirectory = (addresses: readonly string[]): EntryDirectory => ({
  getAddresses: () => Promise.resolve(addresses),
});

/** Computes the delay before the next attempt; undefined if the request is not retried. */
const computeRetryDelayMs = (end: AttemptOutcome, idempotent: boolean): number | undefined => {
  if (end.type === 'whole') return undefined;
  if (end.type !== 'refused') return end.type === 'unreachable' ? 0 : DEFAULT_RETRY_MS;
  const { retryAfterMs, verdict } = end.error;
  // A non-idempotent call may be retried too, since it keeps its idempotency key.
  if (retryAfterMs !== undefined) return retryAfterMs;
  return end.status >= 500 && (idempotent || verdict === 'not-run') ? DEFAULT_RETRY_MS : undefined;
};

/** A client that retries failed attempts at the next entry VM, as far as their verdicts allow. */
export class RetryingClient {
  private entryIndex: number;

  constructor(private readonly options: RetryingClientOptions) {
    this.entryIndex = options.firstEntryIndex ?? 0;
  }

  /** Requests a streamed chat completion, with retries. */
  complete(workload: string, body: Readonly<Record<string, unknown>>): Promise<CallResult> {
    const payload: RequestPayload = {
      method: 'POST',
      path: '/v1/chat/completions',
      headers: { ...this.buildHeaders(), 'x-workload': workload },
      body: JSON.stringify({ ...body, stream: true }),
      isStreaming: true,
      isCompletion: true,
    };
    return this.runWithRetries(payload, true);
  }

  /** Calls a service, with retries; a non-idempotent call sends the same idempotency key each time. */
  call(request: ServiceRequest): Promise<CallResult> {
    const { service, method, path, body, nonIdempotent, idempotencyKey } = request;
    const key = idempotencyKey ?? generateIdempotencyKey();
    const payload: RequestPayload = {
      method,
      path: `/v1/services/${service}${path}`,
      headers: { ...this.buildHeaders(), ...(nonIdempotent && { 'idempotency-key': key }) },
      ...(body !== undefined && { body: JSON.stringify(body) }),
      isStreaming: false,
      isCompletion: false,
    };
    return this.runWithRetries(payload, !nonIdempotent);
  }

  private buildHeaders(): Record<string, string> {
    return {
      authorization: `Bearer ${this.options.apiKey}`,
      'content-type': 'application/json',
    };
  }

  private async runWithRetries(payload: RequestPayload, idempotent: boolean): Promise<CallResult> {
    const { timeoutMs } = this.options;
    const startedAtMs = performance.now();
    const attemptEnds: AttemptOutcome[] = [];
    for (;;) {
      const lastAttempt = await this.sendAttempt(payload);
      attemptEnds.push(lastAttempt.outcome);
      const delayMs = computeRetryDelayMs(lastAttempt.outcome, idempotent);
      if (delayMs === undefined || performance.now() - startedAtMs > timeoutMs) {
        const [firstTokenAtMs = performance.now()] = lastAttempt.tokenArrivalTimesMs;
        const verdict = attemptEnds.map(getVerdict).reduce(combineVerdicts, 'not-run');
        return { lastAttempt, attemptEnds, verdict, firstTokenMs: firstTokenAtMs - startedAtMs };
      }
      this.entryIndex += 1;
      await sleep(delayMs);
    }
  }

  private async sendAttempt(payload: RequestPayload): Promise<Attempt> {
    const { directory, sender } = this.options;
    const signal = AbortSignal.timeout(ATTEMPT_TIMEOUT_MS);
    const addresses = await directory.getAddresses('caller', signal);
    const address = addresses[this.entryIndex % Math.max(addresses.length, 1)] ?? '';
    return sender.send(address, payload, signal);
  }
}
