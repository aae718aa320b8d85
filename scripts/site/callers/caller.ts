import { setTimeout as sleep } from 'node:timers/promises';
import type { AttemptResult } from './attemptResult.js';
import { streamCompletion } from './completionCall.js';
import type { EntryDirectory } from './entryDirectory.js';
import { generateIdempotencyKey } from './idempotencyKey.js';
import { callService } from './serviceCall.js';

const DEFAULT_RETRY_MS = 200;
const ATTEMPT_TIMEOUT_MS = 20_000;

/** How a caller's request ended after its retries. */
export interface CallResult {
  /** The last attempt. */
  readonly last: AttemptResult;
  /** Every attempt before it. */
  readonly earlier: readonly AttemptResult[];
  /** Time from the first attempt to the first token, in milliseconds. */
  readonly firstTokenMs: number;
}

/** Who calls and for how long it goes on trying. */
export interface CallerOptions {
  readonly apiKey: string;
  readonly directory: EntryDirectory;
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

/** An idempotency key makes a repeat of an unrepeatable call safe, unless the key was refused. */
const canRetry = (last: AttemptResult, idempotent: boolean): boolean => {
  if (last.type !== 'error') return true;
  if (last.retryAfterMs === undefined && last.status < 500) return false;
  return idempotent || last.verdict === 'not-run' || last.retryAfterMs !== undefined;
};

/** A caller that retries as the verdicts allow. */
export class Caller {
  private turn: number;

  constructor(private readonly options: CallerOptions) {
    this.turn = options.firstTurn ?? 0;
  }

  /** Streams a chat completion until it has a whole answer. */
  complete(workload: string, body: Readonly<Record<string, unknown>>): Promise<CallResult> {
    const { apiKey } = this.options;
    return this.run(true, (entryUrl, timeoutMs) =>
      streamCompletion({ entryUrl, apiKey, workload, body, timeoutMs }),
    );
  }

  /** Calls a service; an unrepeatable call keeps its idempotency key over all attempts. */
  call(request: CallerServiceRequest): Promise<CallResult> {
    const { apiKey } = this.options;
    const { unrepeatable, idempotencyKey, ...call } = request;
    const key = idempotencyKey ?? generateIdempotencyKey();
    return this.run(!unrepeatable, (entryUrl, timeoutMs) =>
      callService({
        ...call,
        entryUrl,
        apiKey,
        timeoutMs,
        ...(unrepeatable && { idempotencyKey: key }),
      }),
    );
  }

  private async run(
    idempotent: boolean,
    send: (entryUrl: string, timeoutMs: number) => Promise<AttemptResult>,
  ): Promise<CallResult> {
    const startMs = performance.now();
    const earlier: AttemptResult[] = [];
    for (;;) {
      const attemptMs = performance.now();
      const entryUrl = await this.options.directory.choose(this.turn);
      const last = await send(entryUrl, Math.min(this.options.timeoutMs, ATTEMPT_TIMEOUT_MS));
      const waitedMs = attemptMs - startMs;
      if (last.type === 'whole') {
        return { last, earlier, firstTokenMs: waitedMs + last.firstTokenMs };
      }
      if (last.type !== 'error') this.options.directory.markFailed(entryUrl);
      const isOver = performance.now() - startMs > this.options.timeoutMs;
      if (isOver || !canRetry(last, idempotent)) return { last, earlier, firstTokenMs: 0 };
      earlier.push(last);
      this.turn += 1;
      await sleep(last.type === 'error' ? (last.retryAfterMs ?? DEFAULT_RETRY_MS) : 0);
    }
  }
}
