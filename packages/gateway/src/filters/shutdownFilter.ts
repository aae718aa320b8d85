import { createRefusal } from '@goldcrestscale/core';
import type { GatewayExchange } from './gatewayExchange.js';
import { GatewayFilter } from './gatewayFilter.js';
import type { NextFilter } from './gatewayFilter.js';

/** Short, because another VM can serve the retry at once. */
const SHUTDOWN_RETRY_AFTER_MS = 50;

/** @throws a refusal if too little of the shutdown period is left to serve a request */
export const assertServing = (isRefusing: () => boolean): void => {
  if (!isRefusing()) return;
  throw createRefusal('This VM shuts down; use another address.', {
    code: 'shutting_down',
    status: 503,
    retryAfterMs: SHUTDOWN_RETRY_AFTER_MS,
  });
};

/** Refuses new requests when too little of the shutdown period is left to serve them. */
export class ShutdownFilter extends GatewayFilter {
  override readonly name = 'shutdown';

  constructor(private readonly isRefusing: () => boolean) {
    super();
  }

  override async handle(_exchange: GatewayExchange, next: NextFilter): Promise<void> {
    assertServing(this.isRefusing);
    await next();
  }
}
