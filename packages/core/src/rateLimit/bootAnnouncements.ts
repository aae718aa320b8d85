import type { UpstreamBoot } from '../fleet/index.js';
import type { UpstreamId } from '../ids.js';
import {
  ENDED_LIMIT_MEMORY_MS,
  LOWER_RATE_HOLD_MS,
  MAX_ENFORCED_RATE,
  MIN_ENFORCED_RATE,
  RATE_ROW_REPEAT_MS,
} from './constants.js';

/** Announcement of one boot of an upstream, as it is sent to other VMs. */
export interface RateRow extends UpstreamBoot {
  /** Requests per second that it takes from all VMs together; undefined if it announced no limit. */
  readonly requestsPerSecond: number | undefined;
  /** Time since the announcement. */
  readonly ageMs: number;
}

/** A limit in force. */
export interface AnnouncedRate {
  /** Requests per second that the upstream takes from all VMs together. */
  readonly requestsPerSecond: number;
  /** Monotonic time at which this VM first knew of a limit of this boot. */
  readonly sinceMs: number;
  /** Monotonic time of the announcement. */
  readonly announcedAtMs: number;
}

/** A change of the limit in force of an upstream. */
export interface RateChange extends UpstreamBoot {
  /** Undefined if no limit was in force. */
  readonly previous: number | undefined;
  /** Undefined if no limit is in force any more. */
  readonly requestsPerSecond: number | undefined;
}

interface Announcement {
  /** Infinite if no limit was announced. */
  readonly rate: number;
  /** Monotonic time. */
  readonly atMs: number;
}

const toFinite = (rate: number): number | undefined => (rate === Infinity ? undefined : rate);

/** Announcements of one boot of an upstream. */
export class BootAnnouncements {
  /** By time; a later one with at most the same rate replaces those before it. */
  private announcements: Announcement[] = [];

  private limitedSinceMs: number | undefined;

  private reportedRate = Infinity;

  /** Monotonic time at which the newest announcement was last sent to other VMs. */
  private sentAtMs = -Infinity;

  constructor(readonly startedAtMs: number) {}

  /** The lowest rate of the last announcements. */
  get rate(): number {
    return this.findLowest()?.rate ?? Infinity;
  }

  /** The limit in force, if any. */
  get limit(): AnnouncedRate | undefined {
    const lowest = this.findLowest();
    if (!lowest || lowest.rate > MAX_ENFORCED_RATE) return undefined;
    return {
      requestsPerSecond: Math.max(MIN_ENFORCED_RATE, lowest.rate),
      sinceMs: this.limitedSinceMs ?? performance.now(),
      announcedAtMs: lowest.atMs,
    };
  }

  get isForgettable(): boolean {
    const last = this.announcements.at(-1);
    const oldestMs = performance.now() - ENDED_LIMIT_MEMORY_MS;
    return !last || (this.rate === Infinity && last.atMs < oldestMs);
  }

  /** Whether other VMs should get the newest announcement now. */
  get isSendDue(): boolean {
    return performance.now() - this.sentAtMs >= RATE_ROW_REPEAT_MS;
  }

  add(added: Announcement): void {
    const previous = this.announcements.at(-1);
    const later = this.announcements.filter(({ atMs }) => atMs > added.atMs);
    if (later.some(({ rate }) => rate <= added.rate)) return;
    const earlier = this.announcements.filter(
      ({ atMs, rate }) => atMs <= added.atMs && rate < added.rate,
    );
    this.announcements = [...earlier, added, ...later];
    if (this.announcements.at(-1)!.rate !== previous?.rate) this.sentAtMs = -Infinity;
    if (added.rate !== Infinity) this.limitedSinceMs ??= performance.now();
  }

  /** Returns the rate before and after a change since the last call; undefined if there is none. */
  takeChange(): Pick<RateChange, 'previous' | 'requestsPerSecond'> | undefined {
    const { rate, reportedRate } = this;
    if (rate === reportedRate) return undefined;
    this.reportedRate = rate;
    return { previous: toFinite(reportedRate), requestsPerSecond: toFinite(rate) };
  }

  takeRow(upstreamId: UpstreamId): RateRow {
    this.sentAtMs = performance.now();
    const { rate, atMs } = this.announcements.at(-1)!;
    return {
      upstreamId,
      startedAtMs: this.startedAtMs,
      requestsPerSecond: toFinite(rate),
      ageMs: performance.now() - atMs,
    };
  }

  private findLowest(): Announcement | undefined {
    const heldSinceMs = performance.now() - LOWER_RATE_HOLD_MS;
    while (this.announcements.length > 1 && this.announcements[0]!.atMs < heldSinceMs) {
      this.announcements.shift();
    }
    return this.announcements[0];
  }
}
