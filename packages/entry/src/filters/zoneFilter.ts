import { createRefusal } from '@goldcrestscale/core';
import type { AvailabilityZoneId, ConfigTable } from '@goldcrestscale/core';
import { DEFAULT_RETRY_AFTER_MS } from '../constants.js';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

/** What the zone filter needs. */
export interface ZoneFilterOptions {
  /** Availability zone of this VM. */
  readonly availabilityZone: AvailabilityZoneId;
  readonly table: () => Pick<ConfigTable, 'isZoneOut'>;
  /** Time that callers may keep this VM's address, in milliseconds. */
  readonly entriesTtlMs: number;
}

/**
 * Refuses new work at an entry VM whose zone is out, once no caller holds an answer of
 * `/v1/entries` any more that names this VM.
 */
export class ZoneFilter extends Filter {
  override readonly name = 'zone';

  private outSinceMs: number | undefined;

  constructor(private readonly options: ZoneFilterOptions) {
    super();
  }

  override async handle(_exchange: Exchange, next: NextFilter): Promise<void> {
    if (this.isClosed()) {
      throw createRefusal('The availability zone of this VM is out; use another entry VM.', {
        code: 'zone_out',
        status: 503,
        retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      });
    }
    await next();
  }

  /** Notes the zone's state; to be called whenever the table changes. */
  noteTable(): void {
    const isOut = this.options.table().isZoneOut(this.options.availabilityZone);
    if (!isOut) this.outSinceMs = undefined;
    else this.outSinceMs ??= performance.now();
  }

  private isClosed(): boolean {
    this.noteTable();
    const { outSinceMs } = this;
    return outSinceMs !== undefined && performance.now() - outSinceMs > this.options.entriesTtlMs;
  }
}
