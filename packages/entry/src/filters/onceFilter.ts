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

/** What the once filter needs. */
export interface OnceFilterOptions {
  readonly guard: IdempotencyGuard;
}

const getKey = (exchange: Exchange): IdempotencyKey => {
  const header = exchange.headers[IDEMPOTENCY_KEY_HEADER];
  // Without a key of the caller the request still runs at most once, but can't be repeated.
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

const createRequest = (exchange: Exchange): KeyedRequest => {
  const { account, body, method, target } = exchange;
  if (!account) {
    throw createRefusal('An unrepeatable request needs a client account.', {
      code: 'unauthorized',
      status: 401,
    });
  }
  const path = target.kind === 'service' ? `${target.service} ${target.path}` : target.path;
  const digest = computeRequestDigest(method, path, body);
  return { accountId: account.id, key: getKey(exchange), digest };
};

const sendStoredAnswer = async (
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
  exchange.answer.writeHead(answer.status, {
    ...answer.headers,
    'x-request-id': exchange.requestId,
    'x-goldcrest-verdict': verdict,
    [IDEMPOTENCY_REPLAYED_HEADER]: 'true',
  });
  await exchange.answer.write(Buffer.from(answer.bodyBase64, 'base64'));
  exchange.answer.finish();
};

const runOnce = async (
  exchange: Exchange,
  permit: ExecutionPermit,
  next: NextFilter,
): Promise<void> => {
  const recorder = new ResponseRecorder(exchange.answer);
  exchange.answer = recorder;
  // The run goes on without its caller: its outcome is what a repeat with the same key gets.
  exchange.signal = new AbortController().signal;
  try {
    await next();
    permit.finish(recorder.getOutcome());
  } catch (error) {
    const own = isGoldcrestError(error) ? error.verdict : 'may-have-run';
    const verdict = combineVerdicts(own, exchange.verdict);
    if (verdict === 'not-run') permit.release();
    else permit.finish({ verdict });
    throw error;
  }
};

/** Lets an unrepeatable request run at most once and repeats its answer. */
export class OnceFilter extends Filter {
  override readonly name = 'once';

  constructor(private readonly options: OnceFilterOptions) {
    super();
  }

  override async handle(exchange: Exchange, next: NextFilter): Promise<void> {
    if (exchange.idempotent) {
      await next();
      return;
    }
    const request = createRequest(exchange);
    exchange.idempotencyKey = request.key;
    const claim = await this.claimInTime(request, exchange);
    if (claim.type === 'repeat') {
      await sendStoredAnswer(exchange, claim.outcome);
      return;
    }
    // Checked after the last await: the process may have been paused since the claim.
    if (!claim.permit.begin()) throw createClaimUndecidedError();
    await runOnce(exchange, claim.permit, next);
  }

  private async claimInTime(request: KeyedRequest, exchange: Exchange): Promise<ClaimResult> {
    const { deadlineAtMs = Infinity, signal } = exchange;
    const timeMs = Math.min(Math.max(deadlineAtMs - Date.now(), 0), CLAIM_TIMEOUT_MS);
    const timeout = createTimeout(timeMs, [signal]);
    try {
      return await this.options.guard.claim(request, timeout.signal);
    } finally {
      timeout.clear();
    }
  }
}

/** Creates the once filter. */
export const createOnceFilter = (options: OnceFilterOptions): Filter => new OnceFilter(options);
