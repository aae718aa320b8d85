import { combineVerdicts, createError, isGoldcrestError } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance } from '@goldcrestscale/core';
import type { RequestLog } from '../requestLog.js';
import { sendErrorResponse } from '../http/errorResponse.js';
import type { GatewayMetrics } from '../metrics.js';
import type { CallerProtocol } from '../ports/index.js';
import type { GatewayExchange } from './gatewayExchange.js';
import { GatewayFilter } from './gatewayFilter.js';
import type { NextFilter } from './gatewayFilter.js';

/** Dependencies of the filter. */
export interface ErrorResponseFilterOptions {
  readonly requestLog: RequestLog;
  readonly metrics: GatewayMetrics;
  readonly protocol: CallerProtocol;
}

const toError = (cause: unknown, exchange: GatewayExchange): GoldcrestErrorInstance =>
  isGoldcrestError(cause)
    ? cause
    : createError('The gateway failed while it handled the request.', {
        code: 'internal',
        status: 502,
        verdict: exchange.verdict,
      });

/** Whether a status implies that the request was not executed and will not be. */
const isNotExecutedStatus = (status: number): boolean => [408, 421, 429, 503].includes(status);

const UNKNOWN_OUTCOME_STATUS = 502;

/** Replaces a status that implies "not executed" unless the verdict proves it. */
const chooseStatus = (error: GoldcrestErrorInstance, exchange: GatewayExchange): number => {
  const verdict = combineVerdicts(error.verdict, exchange.verdict);
  return isNotExecutedStatus(error.status) && verdict !== 'not-run'
    ? UNKNOWN_OUTCOME_STATUS
    : error.status;
};

/** Turns every error of the chain into one error response whose status agrees with the verdict. */
export class ErrorResponseFilter extends GatewayFilter {
  override readonly name = 'verdictGuard';

  constructor(private readonly options: ErrorResponseFilterOptions) {
    super();
  }

  override async handle(exchange: GatewayExchange, next: NextFilter): Promise<void> {
    const { requestLog, metrics } = this.options;
    try {
      await next();
      metrics.countResponse(exchange.route?.name, 'ok');
      this.recordTiming(exchange);
      metrics.observeResponse(performance.now() - exchange.receivedAtMs);
    } catch (cause) {
      const error = toError(cause, exchange);
      const status = chooseStatus(error, exchange);
      metrics.countResponse(exchange.route?.name, error.code);
      if (exchange.signal.aborted) metrics.countDeparture(exchange.route?.name, exchange.isSent);
      requestLog.log('request failed', {
        id: exchange.head.requestId,
        route: exchange.route?.name,
        code: error.code,
        status,
        verdict: combineVerdicts(error.verdict, exchange.verdict),
        reason: isGoldcrestError(cause) ? error.message : String(cause),
        elapsedMs: Math.round(performance.now() - exchange.receivedAtMs),
        attempts: exchange.attempts,
        callerGone: exchange.signal.aborted,
      });
      sendErrorResponse(exchange, error, status, this.options.protocol);
    }
  }

  private recordTiming(exchange: GatewayExchange): void {
    const { route, receivedAtMs, response, head, attempts } = exchange;
    const { firstChunkAtMs, longestPauseMs } = response.timing;
    if (!route || firstChunkAtMs === undefined) return;
    const firstByteMs = firstChunkAtMs - receivedAtMs;
    const isLate =
      firstByteMs > route.objectiveMs || longestPauseMs > (route.gapObjectiveMs ?? Infinity);
    if (!isLate) return;
    this.options.metrics.countLateResponse(route.name);
    this.options.requestLog.log('answer late', {
      id: head.requestId,
      route: route.name,
      firstByteMs: Math.round(firstByteMs),
      objectiveMs: route.objectiveMs,
      longestPauseMs: Math.round(longestPauseMs),
      promptTokens: head.prompt?.inputTokens,
      attempts,
    });
  }
}
