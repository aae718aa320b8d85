import {
  combineVerdicts,
  computeRequestDigest,
  createError,
  createIdempotencyKey,
  createOutcomeUnknownError,
  createRefusal,
  createTimeout,
  createClaimUndecidedError,
  isGoldcrestError,
  parseIdempotencyKey,
} from '@goldcrestscale/core';
import type {
  IdempotencyKey,
  ClaimResult,
  IdempotencyGuard,
  KeyedRequest,
  ExecutionOutcome,
  ExecutionPermit,
} from '@goldcrestscale/core';
import { ResponseRecorder } from '../controllers/idempotency/responseRecorder.js';
import {
  IDEMPOTENCY_KEY_HEADER,
  CLAIM_TIMEOUT_MS,
  IDEMPOTENCY_REPLAYED_HEADER,
} from '../controllers/idempotency/constants.js';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

/** Dependencies of the idempotency filter. */
export interface IdempotencyFilterOptions {
  readonly guard: IdempotencyGuard;
}

const getIdempotencyKey = (exchange: Exchange): IdempotencyKey => {
  const header = exchange.headers[IDEMPOTENCY_KEY_HEADER];
  // Without a key from the caller the request still runs at most once, but it can't be retried.
  if (header === undefined) return createIdempotencyKey(Date.now());
  const key = typeof header === 'string' ? parseIdempotencyKey(header) : undefined;
  if (key) return key;
  throw createRefusal(
    'Idempotency-Key must be one UUID of version 7, made when the request is made.',
    {
      code: 'bad_request',
      status: 400,
    },
  );
};

const createKeyedRequest = (exchange: Exchange): KeyedRequest => {
  const { account, body, method, target } = exchange;
  if (!account) {
    throw createRefusal('An unrepeatable request needs a client account.', {
      code: 'unauthorized',
      status: 401,
    });
  }
  const path = target.kind === 'service' ? `${target.service} ${target.path}` : target.path;
  const digest = computeRequestDigest(method, path, body);
  return { accountId: account.id, key: getIdempotencyKey(exchange), digest };
};

const sendStoredResponse = async (
  exchange: Exchange,
  { verdict, answer }: ExecutionOutcome,
): Promise<void> => {
  exchange.verdict = combineVerdicts(exchange.verdict, verdict);
  if (verdict !== 'ran') throw createOutcomeUnknownError();
  if (!answer) {
    throw createError('The request has run; its answer was too large to keep.', {
      code: 'outcome_unknown',
      status: 409,
      verdict,
    });
  }
  exchange.response.writeHead(answer.status, {
    ...answer.headers,
    'x-request-id': exchange.requestId,
    'x-goldcrest-verdict': verdict,
    [IDEMPOTENCY_REPLAYED_HEADER]: 'true',
  });
  await exchange.response.write(Buffer.from(answer.bodyBase64, 'base64'));
  exchange.response.finish();
};

const runAndRecord = async (
  exchange: Exchange,
  permit: ExecutionPermit,
  next: NextFilter,
): Promise<void> => {
  const recorder = new ResponseRecorder(exchange.response);
  exchange.response = recorder;
  // The run continues if the caller disconnects: a retry with the same key gets its stored outcome.
  exchange.signal = new AbortController().signal;
  try {
    await next();
    permit.finish(recorder.getOutcome());
  } catch (error) {
    const errorVerdict = isGoldcrestError(error) ? error.verdict : 'may-have-run';
    const verdict = combineVerdicts(errorVerdict, exchange.verdict);
    if (verdict === 'not-run') permit.release();
    else permit.finish({ verdict });
    throw error;
  }
};

/** Runs a non-idempotent request at most once and replays its stored response to retries. */
export class IdempotencyFilter extends Filter {
  override readonly name = 'once';

  constructor(private readonly options: IdempotencyFilterOptions) {
    super();
  }

  override async handle(exchange: Exchange, next: NextFilter): Promise<void> {
    if (exchange.isIdempotent) {
      await next();
      return;
    }
    const request = createKeyedRequest(exchange);
    exchange.idempotencyKey = request.key;
    const claim = await this.claimWithTimeout(request, exchange);
    if (claim.type === 'repeat') {
      await sendStoredResponse(exchange, claim.outcome);
      return;
    }
    // Checked after the last await, because the process may have been paused since the claim.
    if (!claim.permit.begin()) throw createClaimUndecidedError();
    await runAndRecord(exchange, claim.permit, next);
  }

  private async claimWithTimeout(request: KeyedRequest, exchange: Exchange): Promise<ClaimResult> {
    const { deadlineAtMs = Infinity, signal } = exchange;
    const timeoutMs = Math.min(Math.max(deadlineAtMs - performance.now(), 0), CLAIM_TIMEOUT_MS);
    const timeout = createTimeout(timeoutMs, [signal]);
    try {
      return await this.options.guard.claim(request, timeout.signal);
    } finally {
      timeout.clear();
    }
  }
}

/** Creates the idempotency filter. */
export const createIdempotencyFilter = (options: IdempotencyFilterOptions): Filter =>
  new IdempotencyFilter(options);
