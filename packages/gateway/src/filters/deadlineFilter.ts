import { MIN_PRESENT_CALLER_MS } from '../constants.js';
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
    // Nobody knows how long a request lay unread; its caller is still there when it is sent.
    const earliestMs = performance.now() + Math.min(allowedMs, MIN_PRESENT_CALLER_MS);
    exchange.deadlineAtMs = Math.max(exchange.receivedAtMs + allowedMs, earliestMs);
    await next();
  }
}
