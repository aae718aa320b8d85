import { combineVerdicts, createError, isGoldcrestError } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import type { EntryMetrics } from '../metrics.js';
import { sendError } from '../http/errorAnswer.js';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

const toError = (cause: unknown, exchange: Exchange): GoldcrestErrorInstance => {
  if (isGoldcrestError(cause)) return cause;
  return createError('The entry VM failed while it handled the request.', {
    code: 'internal',
    status: 500,
    verdict: exchange.verdict,
  });
};

/** Turns every failure of the chain into one typed answer with an honest verdict. */
export class VerdictGuardFilter extends Filter {
  override readonly name = 'verdictGuard';

  constructor(
    private readonly logger: Logger,
    private readonly metrics: EntryMetrics,
  ) {
    super();
  }

  override async handle(exchange: Exchange, next: NextFilter): Promise<void> {
    try {
      await next();
      this.metrics.recordAnswer(exchange.account?.id, 'ok', exchange.verdict);
    } catch (cause) {
      if (!isGoldcrestError(cause)) {
        this.logger.error('unexpected failure', {
          requestId: exchange.requestId,
          error: String(cause),
        });
      }
      const error = toError(cause, exchange);
      const verdict = combineVerdicts(error.verdict, exchange.verdict);
      this.metrics.recordAnswer(exchange.account?.id, error.code, verdict);
      await sendError(exchange, error, verdict);
    }
  }
}
