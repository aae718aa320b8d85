import { REFUSAL_IDLE_MS, createRefusal } from '@goldcrestscale/core';
import type {
  GoldcrestErrorInstance,
  PartQuarantine,
  PromptOfAccount,
  QuarantineRow,
} from '@goldcrestscale/core';
import type { GatewayExchange } from './gatewayExchange.js';
import { GatewayFilter } from './gatewayFilter.js';
import type { NextFilter } from './gatewayFilter.js';

const SECOND_MS = 1_000;

/** Callers do not repeat a request after this status. */
const REFUSED_PART_STATUS = 400;

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
    { code: 'prompt_part_refused', status: REFUSED_PART_STATUS },
  );

/** @throws a refusal if a part of the request's prompt crashes engines */
export const assertPromptAllowed = (
  exchange: GatewayExchange,
  quarantine: PartQuarantine,
): void => {
  const prompt = findPromptOfAccount(exchange);
  const refused = prompt && quarantine.findRefused(prompt);
  if (refused) throw createRefusedPartError(refused);
};

/** Refuses prompts with a part that crashes engines, before their bodies are read. */
export class QuarantineFilter extends GatewayFilter {
  override readonly name = 'quarantine';

  constructor(private readonly quarantine: PartQuarantine) {
    super();
  }

  override async handle(exchange: GatewayExchange, next: NextFilter): Promise<void> {
    assertPromptAllowed(exchange, this.quarantine);
    await next();
  }
}
