import { setTimeout as sleep } from 'node:timers/promises';
import { combineVerdicts } from '@goldcrestscale/core';
import type { Verdict } from '@goldcrestscale/core';
import { generateIdempotencyKey, getVerdict } from '@goldcrestscale/load';
import type {
  Attempt,
  AttemptEnd,
  AttemptSender,
  EntryDirectory,
  RequestPayload,
} from '@goldcrestscale/load';

const DEFAULT_RETRY_MS = 200;
const ATTEMPT_TIMEOUT_MS = 20_000;

/** How a caller's request ended after its retries. */
export interface CallResult {
  readonly last: Attempt;
  /** How each attempt ended, the last one included. */
  readonly ends: readonly AttemptEnd[];
  /** Worst verdict of the attempts. */
  readonly verdict: Verdict;
  /** Time from the first attempt to the first part of the answer, in milliseconds. */
  readonly firstTokenMs: number;
}

/** Who calls and for how long it goes on trying. */
export interface CallerOptions {
  readonly apiKey: string;
  readonly directory: EntryDirectory;
  readonly sender: AttemptSender;
  /** Time after which no further attempt is made. */
  readonly timeoutMs: number;
  /** Makes callers begin at different entry VMs. */
  readonly firstTurn?: number;
}

/** A service call as callers make it. */
export interface CallerServiceRequest {
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly unrepeatable: boolean;
  readonly idempotencyKey?: string;
}

/** Creates a directory that knows some entry VMs and never asks. */
export const createFixedDirectory = (addresses: readonly string[]): EntryDirectory => ({
  getAddresses: () => Promise.resolve(addresses),
});

/** Decides how long to wait before the next attempt; undefined ends the request. */
const decideDelayMs = (end: AttemptEnd, idempotent: boolean): number | undefined => {
  if (end.type === 'whole') return undefined;
  if (end.type !== 'refused') return end.type === 'unreachable' ? 0 : DEFAULT_RETRY_MS;
  const { retryAfterMs, verdict } = end.error;
  // The idempotency key makes a repeat of an unrepeatable call safe.
  if (retryAfterMs !== undefined) return retryAfterMs;
  return end.status >= 500 && (idempotent || verdict === 'not-run') ? DEFAULT_RETRY_MS : undefined;
};

/** A caller that retries as the verdicts allow. */
export class Caller {
  private turn: number;

  constructor(private readonly options: CallerOptions) {
    this.turn = options.firstTurn ?? 0;
  }

  /** Streams a chat completion until it has a whole answer. */
  complete(workload: string, body: Readonly<Record<string, unknown>>): Promise<CallResult> {
    const payload: RequestPayload = {
      method: 'POST',
      path: '/v1/chat/completions',
      headers: { ...this.buildHeaders(), 'x-workload': workload },
      body: JSON.stringify({ ...body, stream: true }),
      stream: true,
      completion: true,
    };
    return this.run(payload, true);
  }

  /** Calls a service; an unrepeatable call keeps its idempotency key over all attempts. */
  call(request: CallerServiceRequest): Promise<CallResult> {
    const { service, method, path, body, unrepeatable, idempotencyKey } = request;
    const key = idempotencyKey ?? generateIdempotencyKey();
    const payload: RequestPayload = {
      method,
      path: `/v1/services/${service}${path}`,
      headers: { ...this.buildHeaders(), ...(unrepeatable && { 'idempotency-key': key }) },
      ...(body !== undefined && { body: JSON.stringify(body) }),
      stream: false,
      completion: false,
    };
    return this.run(payload, !unrepeatable);
  }

  private buildHeaders(): Record<string, string> {
    return {
      authorization: `Bearer ${this.options.apiKey}`,
      'content-type': 'application/json',
    };
  }

  private async run(payload: RequestPayload, idempotent: boolean): Promise<CallResult> {
    const { timeoutMs } = this.options;
    const startMs = performance.now();
    const ends: AttemptEnd[] = [];
    for (;;) {
      const last = await this.send(payload);
      ends.push(last.end);
      const delayMs = decideDelayMs(last.end, idempotent);
      if (delayMs === undefined || performance.now() - startMs > timeoutMs) {
        const [firstMs = performance.now()] = last.tokenTimesMs;
        const verdict = ends.map(getVerdict).reduce(combineVerdicts, 'not-run');
        return { last, ends, verdict, firstTokenMs: firstMs - startMs };
      }
      this.turn += 1;
      await sleep(delayMs);
    }
  }

  private async send(payload: RequestPayload): Promise<Attempt> {
    const { directory, sender } = this.options;
    const signal = AbortSignal.timeout(ATTEMPT_TIMEOUT_MS);
    const addresses = await directory.getAddresses('caller', signal);
    const address = addresses[this.turn % Math.max(addresses.length, 1)] ?? '';
    return sender.send(address, payload, signal);
  }
}
