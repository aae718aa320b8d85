import type { ClientAccountId, UpstreamId, VmId } from '../ids.js';
import { USAGE_REPORT_TTL_MS } from './constants.js';
import { UsageExchange } from './usageExchange.js';
import { mergeUsage } from './usageReporter.js';
import type { UpstreamUsage, UsageReport } from './usageReporter.js';
import type { AccountUsage, PeerUsage, PoolId } from './usageExchange.js';

/** Position of this VM among the entry VMs. */
export interface FleetPosition {
  /** Number of entry VMs, including this one. */
  readonly vmCount: number;
  /** Zero-based index of this VM in the sorted list of entry VMs. */
  readonly rank: number;
}

interface PeerReport {
  readonly receivedAtMs: number;
  readonly sequence: number;
  readonly usage: readonly AccountUsage[];
  readonly upstreams: readonly UpstreamUsage[];
}

type UsageByAccount = Map<ClientAccountId, AccountUsage>;

const addUsage = (total: AccountUsage | undefined, usage: AccountUsage): AccountUsage => ({
  ...usage,
  running: usage.running + (total?.running ?? 0),
  waiting: usage.waiting + (total?.waiting ?? 0),
  offeredPerSecond: usage.offeredPerSecond + (total?.offeredPerSecond ?? 0),
});

const sumReports = (reports: Iterable<PeerReport>): ReadonlyMap<PoolId, UsageByAccount> => {
  const usageByPool = new Map<PoolId, UsageByAccount>();
  for (const { usage } of reports) {
    usage.forEach((accountUsage) => {
      const usageByAccount =
        usageByPool.get(accountUsage.poolId) ?? new Map<ClientAccountId, AccountUsage>();
      usageByAccount.set(
        accountUsage.accountId,
        addUsage(usageByAccount.get(accountUsage.accountId), accountUsage),
      );
      usageByPool.set(accountUsage.poolId, usageByAccount);
    });
  }
  return usageByPool;
};

const sumInFlight = (reports: Iterable<PeerReport>): ReadonlyMap<UpstreamId, number> => {
  const sums = new Map<UpstreamId, number>();
  for (const { upstreams } of reports) {
    upstreams.forEach(({ upstreamId, inFlight }) => {
      sums.set(upstreamId, (sums.get(upstreamId) ?? 0) + inFlight);
    });
  }
  return sums;
};

/** Aggregates the usage reports of peer VMs; reports expire when a peer stops sending. */
export class PeerUsageExchange extends UsageExchange {
  private readonly reports = new Map<VmId, PeerReport>();

  private usageByPool: ReadonlyMap<PoolId, UsageByAccount> | undefined;

  private inFlightByUpstream: ReadonlyMap<UpstreamId, number> | undefined;

  constructor(private readonly getPosition: () => FleetPosition) {
    super();
  }

  /**
   * Merges a report of a peer; after a gap in the sequence, reports are ignored until the next full
   * one.
   */
  receiveReport(vmId: VmId, { sequence, whole, usage, upstreams }: UsageReport): void {
    const previous = this.reports.get(vmId);
    if (!whole && previous?.sequence !== sequence - 1) return;
    const merged = whole ? usage : mergeUsage(previous?.usage ?? [], usage);
    this.reports.set(vmId, { receivedAtMs: Date.now(), sequence, usage: merged, upstreams });
    this.clearTotals();
  }

  /** Drops expired reports and those of disconnected peers. */
  pruneReports(isConnected: (vmId: VmId) => boolean = () => true): void {
    const oldestMs = Date.now() - USAGE_REPORT_TTL_MS;
    [...this.reports]
      .filter(([vmId, report]) => report.receivedAtMs < oldestMs || !isConnected(vmId))
      .forEach(([vmId]) => this.reports.delete(vmId));
    this.clearTotals();
  }

  /**
   * Returns the requests that the other VMs have in flight at an upstream; undefined unless all
   * have reported.
   */
  countInFlight(upstreamId: UpstreamId): number | undefined {
    if (this.reports.size < this.getPosition().vmCount - 1) return undefined;
    this.inFlightByUpstream ??= sumInFlight(this.reports.values());
    return this.inFlightByUpstream.get(upstreamId) ?? 0;
  }

  override getPeerUsage(): PeerUsage {
    this.usageByPool ??= sumReports(this.reports.values());
    const { usageByPool } = this;
    const { vmCount, rank } = this.getPosition();
    const reportingVmCount = this.reports.size;
    return {
      vmCount: Math.max(vmCount, reportingVmCount + 1),
      reportingVmCount,
      rank,
      listAccounts: (poolId) => [...(usageByPool.get(poolId)?.values() ?? [])],
      findAccount: (poolId, accountId) => usageByPool.get(poolId)?.get(accountId),
    };
  }

  private clearTotals(): void {
    this.usageByPool = undefined;
    this.inFlightByUpstream = undefined;
  }
}
