import { OFFERED_RATE_CHANGE_THRESHOLD, USAGE_REPORTS_PER_FULL_REPORT } from './constants.js';
import type { UpstreamId } from '../ids.js';
import type { AccountUsage } from './usageExchange.js';

/** Requests that one VM has in flight at an upstream. */
export interface UpstreamUsage {
  readonly upstreamId: UpstreamId;
  readonly inFlight: number;
}

/** Usage report that a VM sends to the others. */
export interface UsageReport {
  /** Incremented with each report; restarts with the process. */
  readonly sequence: number;
  /** Whether the report contains every active account rather than only changes. */
  readonly whole: boolean;
  readonly usage: readonly AccountUsage[];
  /** All upstreams with requests of the sending VM in flight. */
  readonly upstreams: readonly UpstreamUsage[];
}

const getKey = ({ poolId, accountId }: AccountUsage): string => `${poolId}/${accountId}`;

const isActive = ({ running, waiting, offeredPerSecond }: AccountUsage): boolean =>
  running > 0 || waiting > 0 || offeredPerSecond > 0;

const hasChanged = (previous: AccountUsage | undefined, current: AccountUsage): boolean =>
  previous === undefined ||
  previous.running !== current.running ||
  previous.waiting !== current.waiting ||
  previous.weight !== current.weight ||
  Math.abs(previous.offeredPerSecond - current.offeredPerSecond) >
    OFFERED_RATE_CHANGE_THRESHOLD * previous.offeredPerSecond;

/** Applies changed usage to earlier usage and removes inactive accounts. */
export const mergeUsage = (
  previous: readonly AccountUsage[],
  changes: readonly AccountUsage[],
): readonly AccountUsage[] => {
  const merged = new Map(previous.map((usage) => [getKey(usage), usage]));
  changes.forEach((usage) => merged.set(getKey(usage), usage));
  return [...merged.values()].filter(isActive);
};

/**
 * Builds the usage reports of this VM: periodic full reports, with only the changes between them.
 */
export class UsageReporter {
  private lastSentUsage = new Map<string, AccountUsage>();

  private lastSentUpstreams = '';

  private sequence = 0;

  /** @returns undefined if nothing has changed and no full report is due */
  buildReport(
    usage: readonly AccountUsage[],
    isFullReportDue: boolean,
    upstreams: readonly UpstreamUsage[] = [],
  ): UsageReport | undefined {
    const current = new Map(usage.map((one) => [getKey(one), one]));
    const removed = [...this.lastSentUsage]
      .filter(([key]) => !current.has(key))
      .map(([, one]) => ({ ...one, running: 0, waiting: 0, offeredPerSecond: 0 }));
    const changed = usage.filter((one) => hasChanged(this.lastSentUsage.get(getKey(one)), one));
    const changes = [...changed, ...removed];
    const serializedUpstreams = JSON.stringify(upstreams);
    const isUnchanged = changes.length === 0 && serializedUpstreams === this.lastSentUpstreams;
    if (!isFullReportDue && isUnchanged) return undefined;
    this.lastSentUpstreams = serializedUpstreams;
    changed.forEach((one) => this.lastSentUsage.set(getKey(one), one));
    removed.forEach((one) => this.lastSentUsage.delete(getKey(one)));
    if (isFullReportDue) this.lastSentUsage = current;
    this.sequence += 1;
    const { sequence } = this;
    return {
      sequence,
      whole: isFullReportDue,
      usage: isFullReportDue ? usage : changes,
      upstreams,
    };
  }
}

/** Returns whether a full report is due in a reporting round. */
export const isFullReportRound = (round: number): boolean =>
  round % USAGE_REPORTS_PER_FULL_REPORT === 0;
