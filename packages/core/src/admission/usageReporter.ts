import { OFFERED_CHANGE_MIN, REPORTS_PER_WHOLE } from './constants.js';
import type { UpstreamId } from '../ids.js';
import type { AccountUsage } from './usage.js';

/** Requests of one VM that an upstream has in flight. */
export interface UpstreamUsage {
  readonly upstreamId: UpstreamId;
  readonly inFlight: number;
}

/** Usage of one VM as it is told to the others. */
export interface UsageReport {
  /** Grows by one with each report of a run of the daemon. */
  readonly sequence: number;
  /** Whether the report names every active account, not only the changed ones. */
  readonly whole: boolean;
  readonly usage: readonly AccountUsage[];
  /** All upstreams with requests of this VM in flight. */
  readonly upstreams: readonly UpstreamUsage[];
}

const getKey = ({ poolId, accountId }: AccountUsage): string => `${poolId}/${accountId}`;

const isActive = ({ running, waiting, offeredPerSecond }: AccountUsage): boolean =>
  running > 0 || waiting > 0 || offeredPerSecond > 0;

const hasChanged = (before: AccountUsage | undefined, now: AccountUsage): boolean =>
  before === undefined ||
  before.running !== now.running ||
  before.waiting !== now.waiting ||
  before.weight !== now.weight ||
  Math.abs(before.offeredPerSecond - now.offeredPerSecond) >
    OFFERED_CHANGE_MIN * before.offeredPerSecond;

/** Puts changed usage in the place of the earlier; accounts without any use fall out. */
export const mergeUsage = (
  known: readonly AccountUsage[],
  changes: readonly AccountUsage[],
): readonly AccountUsage[] => {
  const merged = new Map(known.map((usage) => [getKey(usage), usage]));
  changes.forEach((usage) => merged.set(getKey(usage), usage));
  return [...merged.values()].filter(isActive);
};

/** Turns the usage of this VM into reports: a whole one now and then, else what has changed. */
export class UsageReporter {
  private sent = new Map<string, AccountUsage>();

  private sentUpstreams = '';

  private sequence = 0;

  /** @returns undefined where nothing has changed and no whole report is due */
  build(
    usage: readonly AccountUsage[],
    isWholeDue: boolean,
    upstreams: readonly UpstreamUsage[] = [],
  ): UsageReport | undefined {
    const current = new Map(usage.map((one) => [getKey(one), one]));
    const gone = [...this.sent]
      .filter(([key]) => !current.has(key))
      .map(([, one]) => ({ ...one, running: 0, waiting: 0, offeredPerSecond: 0 }));
    const changed = usage.filter((one) => hasChanged(this.sent.get(getKey(one)), one));
    const changes = [...changed, ...gone];
    const described = JSON.stringify(upstreams);
    const isSame = changes.length === 0 && described === this.sentUpstreams;
    if (!isWholeDue && isSame) return undefined;
    this.sentUpstreams = described;
    changed.forEach((one) => this.sent.set(getKey(one), one));
    gone.forEach((one) => this.sent.delete(getKey(one)));
    if (isWholeDue) this.sent = current;
    this.sequence += 1;
    const { sequence } = this;
    return { sequence, whole: isWholeDue, usage: isWholeDue ? usage : changes, upstreams };
  }
}

/** Tells whether a round of reports is a whole one. */
export const isWholeRound = (round: number): boolean => round % REPORTS_PER_WHOLE === 0;
