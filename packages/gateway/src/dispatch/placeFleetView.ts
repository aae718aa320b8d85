import type { EntryRoster, PlaceFleet, ZoneRelays } from '@goldcrestscale/core';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { computeReportDelayMs } from '../mesh/gossipInterval.js';

/** Time for which the number of VMs is not counted anew, in milliseconds. */
const VM_COUNT_TTL_MS = 200;

/** What the admission needs to know of the fleet, from the roster of entry VMs. */
export class PlaceFleetView implements PlaceFleet {
  private counted = { vmCount: 1, atMs: -Infinity };

  constructor(
    private readonly roster: EntryRoster,
    private readonly relays: ZoneRelays,
    private readonly random: RandomGenerator,
  ) {}

  get vmCount(): number {
    const nowMs = performance.now();
    if (nowMs - this.counted.atMs > VM_COUNT_TTL_MS) {
      this.counted = { vmCount: Math.max(1, this.roster.listServing().length), atMs: nowMs };
    }
    return this.counted.vmCount;
  }

  get reportDelayMs(): number {
    return computeReportDelayMs(this.relays, this.vmCount);
  }

  drawRandom(): number {
    return uniformFloat64(this.random);
  }
}
