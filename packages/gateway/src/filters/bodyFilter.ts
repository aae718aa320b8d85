import type { DeploymentView } from '@goldcrestscale/core';
import { readRequestBody } from '@goldcrestscale/runtime';
import { DEFAULT_MAX_BODY_BYTES } from '../constants.js';
import { createCallerLeftError, createTimeoutError } from '../dispatch/dispatchErrors.js';
import type { GatewayExchange } from './gatewayExchange.js';
import { GatewayFilter } from './gatewayFilter.js';
import type { NextFilter } from './gatewayFilter.js';

/** Buffers the request body, so that the request can be retried at another upstream. */
export class BodyFilter extends GatewayFilter {
  override readonly name = 'body';

  constructor(private readonly getView: () => DeploymentView | undefined) {
    super();
  }

  override async handle(exchange: GatewayExchange, next: NextFilter): Promise<void> {
    // The end of the request may have been emitted already; it would never come again.
    if (exchange.signal.aborted) throw createCallerLeftError(exchange);
    exchange.body = await readRequestBody(exchange.request, {
      maxBytes: this.getView()?.deployment.callerLimits.bodyBytes ?? DEFAULT_MAX_BODY_BYTES,
      reservation: exchange.reservation,
      deadlineAtMs: exchange.deadlineAtMs,
      createTimeoutError: () => createTimeoutError(exchange),
      createLeftError: () => createCallerLeftError(exchange),
    });
    await next();
  }
}
