import { createRefusal } from '@goldcrestscale/core';
import type { GatewayExchange } from './exchange.js';
import { GatewayFilter } from './gatewayFilter.js';
import type { NextFilter } from './gatewayFilter.js';

/** When to come back: another VM serves at once. */
const OTHER_VM_RETRY_MS = 50;

/** Refuses new requests once a shutdown is too near its end to serve them. */
export class ShutdownFilter extends GatewayFilter {
  override readonly name = 'shutdown';

  constructor(private readonly isRefusing: () => boolean) {
    super();
  }

  override async handle(_exchange: GatewayExchange, next: NextFilter): Promise<void> {
    if (this.isRefusing()) {
      throw createRefusal('This VM shuts down; use another address.', {
        code: 'shutting_down',
        status: 503,
        retryAfterMs: OTHER_VM_RETRY_MS,
      });
    }
    await next();
  }
}
