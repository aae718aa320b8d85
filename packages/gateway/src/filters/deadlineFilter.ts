import { computeCallerDeadlineMs } from '@goldcrestscale/runtime';
import type { GatewayExchange } from './gatewayExchange.js';
import { requireRoute } from './gatewayExchange.js';
import { GatewayFilter } from './gatewayFilter.js';
import type { NextFilter } from './gatewayFilter.js';

/** Sets the deadline of the complete response: the caller's or the route's, whichever is earlier. */
export class DeadlineFilter extends GatewayFilter {
  override readonly name = 'deadline';

  override async handle(exchange: GatewayExchange, next: NextFilter): Promise<void> {
    const { timeoutMs } = requireRoute(exchange);
    const allowedMs = Math.min(timeoutMs, exchange.head.timeoutMs ?? Infinity);
    const { receivedAtMs } = exchange;
    const arrival = { receivedAtMs, readAtMs: performance.now() };
    exchange.deadlineAtMs = computeCallerDeadlineMs(arrival, allowedMs);
    await next();
  }
}
