import { computeOutageRetryAfterMs, createRefusal } from '@goldcrestscale/core';
import type { DeploymentView } from '@goldcrestscale/core';
import type { GatewayExchange } from './gatewayExchange.js';
import { GatewayFilter } from './gatewayFilter.js';
import type { NextFilter } from './gatewayFilter.js';

/** Finds the route; refuses requests without a route or a request id, and all before the first configuration. */
export class RouteFilter extends GatewayFilter {
  override readonly name = 'route';

  /** @param estimateOutageMs returns the time since the log has been unavailable, if it is */
  constructor(
    private readonly getView: () => DeploymentView | undefined,
    private readonly estimateOutageMs: () => number | undefined = () => undefined,
  ) {
    super();
  }

  override async handle(exchange: GatewayExchange, next: NextFilter): Promise<void> {
    const view = this.getView();
    if (!view) {
      const { timeoutMs } = exchange.head;
      const elapsedMs = performance.now() - exchange.receivedAtMs;
      throw createRefusal('The configuration is not known yet; try again.', {
        code: 'stale_configuration',
        status: 503,
        retryAfterMs: computeOutageRetryAfterMs({
          outageMs: this.estimateOutageMs(),
          leftMs: timeoutMs === undefined ? undefined : timeoutMs - elapsedMs,
          random: Math.random(),
        }),
      });
    }
    const path = exchange.target.split('?', 1)[0] ?? '';
    const route = view.findRoute(exchange.host, path);
    if (!route) {
      throw createRefusal('No route begins this path; check host and path.', {
        code: 'unknown_service',
        status: 404,
      });
    }
    exchange.route = route;
    if (exchange.head.requestId === undefined) {
      throw createRefusal('The request has no id; send one with each request.', {
        code: 'bad_request',
        status: 400,
      });
    }
    await next();
  }
}
