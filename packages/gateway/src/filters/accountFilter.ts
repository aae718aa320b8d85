import { createRefusal } from '@goldcrestscale/core';
import type { DeploymentView } from '@goldcrestscale/core';
import type { GatewayExchange } from './gatewayExchange.js';
import { requireRoute } from './gatewayExchange.js';
import { GatewayFilter } from './gatewayFilter.js';
import type { NextFilter } from './gatewayFilter.js';

/** Authenticates the client account by its API key, before the body is read. */
export class AccountFilter extends GatewayFilter {
  override readonly name = 'account';

  constructor(private readonly getView: () => DeploymentView | undefined) {
    super();
  }

  override async handle(exchange: GatewayExchange, next: NextFilter): Promise<void> {
    const view = this.getView();
    const account = exchange.head.apiKey && view?.findAccount(exchange.head.apiKey);
    if (account) exchange.account = account;
    else if (view?.requiresApiKeys && !requireRoute(exchange).anonymous) {
      throw createRefusal('The key is unknown; use a key of your account.', {
        code: 'unauthorized',
        status: 401,
      });
    }
    await next();
  }
}
