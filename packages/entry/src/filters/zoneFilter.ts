import { createRefusal } from '@goldcrestscale/core';
import type { AvailabilityZoneId, ConfigTable } from '@goldcrestscale/core';
import { DEFAULT_RETRY_AFTER_MS } from '../constants.js';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

/** Dependencies of the zone filter. */
export interface ZoneFilterOptions {
  /** Availability zone of this VM. */
  readonly availabilityZone: AvailabilityZoneId;
  readonly getTable: () => Pick<ConfigTable, 'isZoneOut'>;
  /** Time for which callers may cache this VM's address, in milliseconds. */
  readonly entriesTtlMs: number;
}

/**
 * Refuses new requests on an entry VM whose availability zone is out of service, once every
 * `/v1/entries` response that lists this VM has expired at the callers.
 */
export class ZoneFilter extends Filter {
  override readonly name = 'zone';

  private outSinceMs: number | undefined;

  constructor(private readonly options: ZoneFilterOptions) {
    super();
  }

  override async handle(_exchange: Exchange, next: NextFilter): Promise<void> {
    if (this.isRefusing()) {
      throw createRefusal('The availability zone of this VM is out; use another entry VM.', {
        code: 'zone_out',
        status: 503,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      });
    }
    await next();
  }

  /** Updates the zone state; must be called whenever the table changes. */
  updateZoneState(): void {
    const isOutOfService = this.options.getTable().isZoneOut(this.options.availabilityZone);
    if (!isOutOfService) this.outSinceMs = undefined;
    else this.outSinceMs ??= performance.now();
  }

  private isRefusing(): boolean {
    this.updateZoneState();
    const { outSinceMs } = this;
    return outSinceMs !== undefined && performance.now() - outSinceMs > this.options.entriesTtlMs;
  }
}
