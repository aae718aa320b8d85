import { combineVerdicts, createError, isGoldcrestError } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance, Verdict } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import type { EntryMetrics } from '../metrics.js';
import { sendError } from '../http/errorResponse.js';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

const toTypedError = (cause: unknown, exchange: Exchange): GoldcrestErrorInstance => {
  if (isGoldcrestError(cause)) return cause;
  return createError('The entry VM failed while it handled the request.', {
    code: 'internal',
    status: 500,
    verdict: exchange.verdict,
  });
};

/** Statuses that imply that the request was not executed. */
const UNEXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const UNKNOWN_OUTCOME_STATUS = 502;

/** Replaces a status that implies "not executed" unless the verdict proves it. */
const replaceStatus = (error: GoldcrestErrorInstance, verdict: Verdict): GoldcrestErrorInstance => {
  if (verdict === 'not-run' || !UNEXECUTED_STATUSES.has(error.status)) return error;
  return createError(error.message, {
    code: error.code,
    status: UNKNOWN_OUTCOME_STATUS,
    verdict,
    ...(error.retryAfterMs === undefined ? {} : { retryAfterMs: error.retryAfterMs }),
  });
};

/** Converts every failure in the chain to one typed error response with the combined verdict. */
export class ErrorResponseFilter extends Filter {
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
      this.metrics.recordResponse(exchange.account?.id, 'ok', exchange.verdict);
    } catch (cause) {
      if (!isGoldcrestError(cause)) {
        this.logger.error('unexpected error in the filter chain', {
          requestId: exchange.requestId,
          error: String(cause),
        });
      }
      const error = toTypedError(cause, exchange);
      const verdict = combineVerdicts(error.verdict, exchange.verdict);
      this.metrics.recordResponse(exchange.account?.id, error.code, verdict);
      await sendError(exchange, replaceStatus(error, verdict), verdict);
    }
  }
}
