import { combineVerdicts, createError, isGoldcrestError } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance } from '@goldcrestscale/core';
import type { DecisionLog } from '../decisionLog.js';
import { sendRefusal } from '../http/refusal.js';
import type { GatewayMetrics } from '../metrics.js';
import type { CallerProtocol } from '../ports/index.js';
import type { GatewayExchange } from './exchange.js';
import { GatewayFilter } from './gatewayFilter.js';
import type { NextFilter } from './gatewayFilter.js';

/** What the guard is built from. */
export interface VerdictGuardOptions {
  readonly decisions: DecisionLog;
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

/** Statuses that promise that the request has not run and will not. */
const isPromise = (status: number): boolean => [408, 421, 429, 503].includes(status);

const UNKNOWN_OUTCOME_STATUS = 502;

/** Gives the status that says no more than the verdict allows. */
const chooseStatus = (error: GoldcrestErrorInstance, exchange: GatewayExchange): number => {
  const verdict = combineVerdicts(error.verdict, exchange.verdict);
  return isPromise(error.status) && verdict !== 'not-run' ? UNKNOWN_OUTCOME_STATUS : error.status;
};

/** Turns every failure of the chain into one answer with an honest status. */
export class VerdictGuardFilter extends GatewayFilter {
  override readonly name = 'verdictGuard';

  constructor(private readonly options: VerdictGuardOptions) {
    super();
  }

  override async handle(exchange: GatewayExchange, next: NextFilter): Promise<void> {
    const { decisions, metrics } = this.options;
    try {
      await next();
      metrics.countAnswer(exchange.route?.name, 'ok');
      this.noteTimes(exchange);
      metrics.observeAnswer(performance.now() - exchange.receivedAtMs);
    } catch (cause) {
      const error = toError(cause, exchange);
      const status = chooseStatus(error, exchange);
      metrics.countAnswer(exchange.route?.name, error.code);
      decisions.log('request failed', {
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
      sendRefusal(exchange, error, status, this.options.protocol);
    }
  }

  private noteTimes(exchange: GatewayExchange): void {
    const { route, receivedAtMs, answer, head, attempts } = exchange;
    const { firstAtMs, longestPauseMs } = answer.times;
    if (!route || firstAtMs === undefined) return;
    const firstByteMs = firstAtMs - receivedAtMs;
    const isLate =
      firstByteMs > route.objectiveMs || longestPauseMs > (route.gapObjectiveMs ?? Infinity);
    if (!isLate) return;
    this.options.metrics.countLate(route.name);
    this.options.decisions.log('answer late', {
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
