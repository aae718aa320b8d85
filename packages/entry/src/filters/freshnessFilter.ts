import { createRefusal } from '@goldcrestscale/core';
import type { Freshness } from '@goldcrestscale/core';
import { DEFAULT_RETRY_AFTER_MS } from '../constants.js';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

/** Refuses requests while this VM's configuration may be outdated; checked again at dispatch. */
export class FreshnessFilter extends Filter {
  override readonly name = 'freshness';

  constructor(private readonly decideFreshness: () => Freshness) {
    super();
  }

  override async handle(exchange: Exchange, next: NextFilter): Promise<void> {
    const { assertSendable } = exchange;
    exchange.assertSendable = () => {
      assertSendable();
      this.assertFresh();
    };
    this.assertFresh();
    await next();
  }

  private assertFresh(): void {
    const freshness = this.decideFreshness();
    if (freshness.accept) return;
    throw createRefusal(`This VM's configuration may be outdated (${freshness.reason}).`, {
      code: 'stale_configuration',
      status: 503,
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    });
  }
}
