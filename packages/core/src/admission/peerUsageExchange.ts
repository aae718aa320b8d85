import type { ClientAccountId, UpstreamId, VmId } from '../ids.js';
import { USAGE_EXPIRY_MS } from './constants.js';
import { UsageExchange } from './usage.js';
import { mergeUsage } from './usageReporter.js';
import type { UpstreamUsage, UsageReport } from './usageReporter.js';
import type { AccountUsage, OthersUsage, PoolId } from './usage.js';

/** Place of this VM among the entry VMs. */
export interface FleetPlace {
  /** Entry VMs, this one included. */
  readonly vmCount: number;
  /** Place of this VM in the order of their names, from 0. */
  readonly rank: number;
}

interface PeerReport {
  readonly receivedAtMs: number;
  readonly sequence: number;
  readonly usage: readonly AccountUsage[];
  readonly upstreams: readonly UpstreamUsage[];
}

type PoolUsage = Map<ClientAccountId, AccountUsage>;

const addUsage = (sum: AccountUsage | undefined, usage: AccountUsage): AccountUsage => ({
  ...usage,
  running: usage.running + (sum?.running ?? 0),
  waiting: usage.waiting + (sum?.waiting ?? 0),
  offeredPerSecond: usage.offeredPerSecond + (sum?.offeredPerSecond ?? 0),
});

const sumReports = (reports: Iterable<PeerReport>): ReadonlyMap<PoolId, PoolUsage> => {
  const pools = new Map<PoolId, PoolUsage>();
  for (const { usage } of reports) {
    usage.forEach((one) => {
      const pool = pools.get(one.poolId) ?? new Map<ClientAccountId, AccountUsage>();
      pool.set(one.accountId, addUsage(pool.get(one.accountId), one));
      pools.set(one.poolId, pool);
    });
  }
  return pools;
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

/** Sums up the reports of the peers that are heard; a silent peer falls out after a while. */
export class PeerUsageExchange extends UsageExchange {
  private readonly reports = new Map<VmId, PeerReport>();

  private sums: ReadonlyMap<PoolId, PoolUsage> | undefined;

  private inFlight: ReadonlyMap<UpstreamId, number> | undefined;

  constructor(private readonly getPlace: () => FleetPlace) {
    super();
  }

  /** Takes in a report of a peer; one that does not follow on the last waits for the next whole one. */
  receive(from: VmId, { sequence, whole, usage, upstreams }: UsageReport): void {
    const known = this.reports.get(from);
    if (!whole && known?.sequence !== sequence - 1) return;
    const merged = whole ? usage : mergeUsage(known?.usage ?? [], usage);
    this.reports.set(from, { receivedAtMs: Date.now(), sequence, usage: merged, upstreams });
    this.clear();
  }

  /** Drops the reports of silent peers, and of those that are gone. */
  prune(isConnected: (vmId: VmId) => boolean = () => true): void {
    const expiredAtMs = Date.now() - USAGE_EXPIRY_MS;
    [...this.reports]
      .filter(([vmId, report]) => report.receivedAtMs < expiredAtMs || !isConnected(vmId))
      .forEach(([vmId]) => this.reports.delete(vmId));
    this.clear();
  }

  /** Counts what the other VMs have in flight at an upstream; undefined unless all are heard. */
  countInFlight(upstreamId: UpstreamId): number | undefined {
    if (this.reports.size < this.getPlace().vmCount - 1) return undefined;
    this.inFlight ??= sumInFlight(this.reports.values());
    return this.inFlight.get(upstreamId) ?? 0;
  }

  override getOthers(): OthersUsage {
    this.sums ??= sumReports(this.reports.values());
    const { sums } = this;
    const { vmCount, rank } = this.getPlace();
    const heardCount = this.reports.size;
    return {
      vmCount: Math.max(vmCount, heardCount + 1),
      heardCount,
      rank,
      listAccounts: (poolId) => [...(sums.get(poolId)?.values() ?? [])],
      findAccount: (poolId, accountId) => sums.get(poolId)?.get(accountId),
    };
  }

  private clear(): void {
    this.sums = undefined;
    this.inFlight = undefined;
  }
}
