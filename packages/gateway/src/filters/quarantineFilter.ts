import { REFUSAL_IDLE_MS, createError, createRefusal } from '@goldcrestscale/core';
import type {
  GoldcrestErrorInstance,
  CrashQuarantine,
  PromptOfAccount,
  QuarantineRow,
  Verdict,
  WholeRequest,
} from '@goldcrestscale/core';
import { NO_CAPACITY_RETRY_AFTER_MS } from '../constants.js';
import type { GatewayExchange } from './gatewayExchange.js';
import { GatewayFilter } from './gatewayFilter.js';
import type { NextFilter } from './gatewayFilter.js';

const SECOND_MS = 1_000;

/** Callers do not repeat a request after this status. */
const REFUSED_PATTERN_STATUS = 400;

/** Returns the prompt of a request and its account; undefined if it has no prompt. */
export const findPromptOfAccount = ({
  head,
  account,
}: GatewayExchange): PromptOfAccount | undefined =>
  head.prompt && { prompt: head.prompt, account: account?.id };

const createRefusedPartError = ({ label, crashes }: QuarantineRow): GoldcrestErrorInstance =>
  createRefusal(
    `The prompt part ${JSON.stringify(label)} is refused, because ${crashes.length} engines crashed ` +
      `when they began to answer it. The refusal ends when no prompt with it was sent for ` +
      `${REFUSAL_IDLE_MS / SECOND_MS} s; send the prompt without it.`,
    { code: 'prompt_part_refused', status: REFUSED_PATTERN_STATUS },
  );

/** Returns a request as a whole; its body must have been read. */
export const buildWholeRequest = ({
  method,
  host,
  target,
  body,
  account,
}: GatewayExchange): WholeRequest => ({ method, host, target, body, account: account?.id });

const createRefusedRequestError = ({ digest, crashes }: QuarantineRow): GoldcrestErrorInstance =>
  createRefusal(
    `This request is refused, because ${crashes.length} upstreams ended while they ran it ` +
      `(${digest}). The refusal ends when it has not come for ${REFUSAL_IDLE_MS / SECOND_MS} s.`,
    { code: 'request_refused', status: REFUSED_PATTERN_STATUS },
  );

const createSuspectedRequestError = (retryAfterMs: number): GoldcrestErrorInstance =>
  createRefusal('Upstreams ended while they ran this request; try again later.', {
    code: 'request_suspected',
    status: 503,
    retryAfterMs: Math.max(NO_CAPACITY_RETRY_AFTER_MS, retryAfterMs),
  });

const createEndedUpstreamError = (verdict: Verdict): GoldcrestErrorInstance =>
  createError('The upstream ended while it ran the request, as others did before.', {
    code: 'upstream_failed',
    status: 502,
    verdict,
  });

/** @throws a refusal if the request crashes upstreams, or may do so and must wait until that is clear */
export const assertRequestAllowed = (
  exchange: GatewayExchange,
  quarantine: CrashQuarantine,
): void => {
  if (quarantine.isEmpty) return;
  const request = buildWholeRequest(exchange);
  const refused = quarantine.findRefused(request);
  const holdMs = quarantine.computeHoldMs(request);
  if (!refused && holdMs === 0) return;
  if (exchange.verdict !== 'not-run') throw createEndedUpstreamError(exchange.verdict);
  throw refused ? createRefusedRequestError(refused) : createSuspectedRequestError(holdMs);
};

/** @throws a refusal if a part of the request's prompt crashes engines */
export const assertPromptAllowed = (
  exchange: GatewayExchange,
  quarantine: CrashQuarantine,
): void => {
  const prompt = findPromptOfAccount(exchange);
  const refused = prompt && quarantine.findRefused(prompt);
  if (refused) throw createRefusedPartError(refused);
};

/** Refuses prompts with a part that crashes engines, before their bodies are read. */
export class QuarantineFilter extends GatewayFilter {
  override readonly name = 'quarantine';

  constructor(private readonly quarantine: CrashQuarantine) {
    super();
  }

  override async handle(exchange: GatewayExchange, next: NextFilter): Promise<void> {
    assertPromptAllowed(exchange, this.quarantine);
    await next();
  }
}
