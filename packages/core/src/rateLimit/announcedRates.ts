import type { UpstreamBoot } from '../fleet/index.js';
import type { UpstreamId } from '../ids.js';
import { BootAnnouncements } from './bootAnnouncements.js';
import type { AnnouncedRate, RateChange, RateRow } from './bootAnnouncements.js';
import { MAX_RATE_ROWS_PER_MESSAGE, MAX_TRACKED_UPSTREAMS } from './constants.js';

/**
 * Request rates that upstreams announce in their responses, as known from the responses of this VM
 * and of others. A response without an announcement ends the limit; for a moment the lower of two
 * announcements holds, because responses arrive out of order.
 */
export class AnnouncedRates {
  private readonly boots = new Map<UpstreamId, BootAnnouncements>();

  /** @param onChange called when the limit in force of an upstream changes */
  constructor(private readonly onChange: (change: RateChange) => void = () => undefined) {}

  /**
   * Records what a response announced.
   *
   * @param requestsPerSecond undefined if the response announced no limit
   * @param ageMs time since the response
   */
  record(boot: UpstreamBoot, requestsPerSecond: number | undefined, ageMs = 0): void {
    const known = this.boots.get(boot.upstreamId);
    const isKnownBoot = known?.startedAtMs === boot.startedAtMs;
    if (known && known.startedAtMs > boot.startedAtMs) return;
    // Most upstreams never announce a limit; nothing is kept for them.
    if (requestsPerSecond === undefined && !isKnownBoot) return;
    // What other VMs announce may be of any number of upstreams.
    if (!known && this.boots.size >= MAX_TRACKED_UPSTREAMS) return;
    const announcements = isKnownBoot ? known : new BootAnnouncements(boot.startedAtMs);
    this.boots.set(boot.upstreamId, announcements);
    announcements.add({
      rate: requestsPerSecond ?? Infinity,
      atMs: performance.now() - ageMs,
    });
    this.reportChange(boot, announcements);
  }

  /** Finds the limit in force of a boot of an upstream. */
  find({ upstreamId, startedAtMs }: UpstreamBoot): AnnouncedRate | undefined {
    const announcements = this.boots.get(upstreamId);
    if (announcements?.startedAtMs !== startedAtMs) return undefined;
    this.reportChange({ upstreamId, startedAtMs }, announcements);
    return announcements.limit;
  }

  merge(rows: readonly RateRow[]): void {
    rows.forEach(({ upstreamId, startedAtMs, requestsPerSecond, ageMs }) =>
      this.record({ upstreamId, startedAtMs }, requestsPerSecond, ageMs),
    );
  }

  /** Returns the rows to send to other VMs now: those that changed, and each of them at intervals. */
  takeRows(): readonly RateRow[] {
    if (this.boots.size === 0) return [];
    this.boots.forEach((announcements, upstreamId) => {
      if (announcements.isForgettable) this.boots.delete(upstreamId);
    });
    return [...this.boots]
      .filter(([, announcements]) => announcements.isSendDue)
      .slice(0, MAX_RATE_ROWS_PER_MESSAGE)
      .map(([upstreamId, announcements]) => announcements.takeRow(upstreamId));
  }

  /** Lists the limits in force. */
  list(): readonly (UpstreamBoot & AnnouncedRate)[] {
    return [...this.boots].flatMap(([upstreamId, { startedAtMs }]) => {
      const limit = this.find({ upstreamId, startedAtMs });
      return limit ? [{ upstreamId, startedAtMs, ...limit }] : [];
    });
  }

  private reportChange(
    { upstreamId, startedAtMs }: UpstreamBoot,
    announcements: BootAnnouncements,
  ): void {
    const change = announcements.takeChange();
    if (change) this.onChange({ upstreamId, startedAtMs, ...change });
  }
}
