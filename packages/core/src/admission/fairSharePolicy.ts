import type { ClientAccountId } from '../ids.js';
import type { AccountState } from './accountState.js';
import { AdmissionPolicy } from './admissionPolicy.js';
import {
  EVEN_RATE_FRACTION,
  SLOT_ROUNDING_INTERVAL_MS,
  RESERVED_CAPACITY_FRACTION,
  FAIR_SHARES_TTL_MS,
} from './constants.js';
import type { PoolState } from './poolState.js';
import { computeMaxMinShares } from './maxMinShares.js';
import type { ShareDemand } from './maxMinShares.js';
import type { PoolId } from './usageExchange.js';

/** Fair shares of one pool across the fleet. */
interface PoolShares {
  readonly computedAtMs: number;
  /** Part of the capacity for this VM and the VMs whose reports are known. */
  readonly capacity: number;
  readonly spareCapacity: number;
  /** Total weight of the accounts with demand. */
  readonly totalWeight: number;
  /** Total weight of the accounts with demand on this VM that has not been reported yet. */
  readonly unreportedWeight: number;
  readonly sharesByAccount: ReadonlyMap<ClientAccountId, AccountShare>;
}

interface AccountShare {
  /** Demand that has been reported to all VMs. */
  readonly demand: number;
  readonly share: number;
}

/** Reported demand of one account across the fleet. */
interface AccountDemand extends ShareDemand {
  readonly accountId: ClientAccountId;
  /** Demand before the account's concurrency limit is applied. */
  readonly uncappedDemand: number;
}

const GOLDEN_RATIO = 0.618_033_988_749_895;

/**
 * Returns an offset that spreads the rounding of fractional slots evenly over the VMs and over
 * time.
 */
const computeRoundingOffset = (rank: number, vmCount: number): number => {
  const interval = Math.floor(Date.now() / SLOT_ROUNDING_INTERVAL_MS);
  return ((rank + 0.5) / vmCount + interval * GOLDEN_RATIO) % 1;
};

const countUnreportedDemand = (account: AccountState): number =>
  Math.max(0, account.demand - account.reportedDemand);

/** Returns the slots for demand that has not been reported to the other VMs yet. */
const countUnreportedSlots = (
  pool: PoolState,
  account: AccountState,
  shares: PoolShares,
): number => {
  const unreportedDemand = countUnreportedDemand(account);
  if (unreportedDemand === 0) return 0;
  const { vmCount, reportingVmCount, rank } = pool.peerUsage;
  const maxConcurrent = account.maxConcurrent ?? Infinity;
  const reportedDemand = shares.sharesByAccount.get(account.accountId)?.demand ?? 0;
  const fairShare = Math.min(
    maxConcurrent,
    (shares.capacity * account.weight) / Math.max(shares.totalWeight, account.weight),
  );
  const isWithinShare = reportedDemand + unreportedDemand <= fairShare;
  const spareShare =
    (shares.spareCapacity * account.weight) / Math.max(shares.unreportedWeight, account.weight);
  const fleetSlots = isWithinShare ? Math.max(spareShare, fairShare) : spareShare;
  const localSlots =
    Math.min(fleetSlots, Math.max(0, maxConcurrent - reportedDemand)) / (reportingVmCount + 1);
  const minSlots = isWithinShare ? 1 : 0;
  return Math.min(
    unreportedDemand,
    Math.max(minSlots, Math.floor(localSlots + computeRoundingOffset(rank, vmCount))),
  );
};

/** Returns the slots that an account's concurrency limit leaves on this VM. */
const countSlotsWithinLimit = (pool: PoolState, account: AccountState): number => {
  if (account.maxConcurrent === undefined) return Infinity;
  const { vmCount, reportingVmCount, rank, findAccount } = pool.peerUsage;
  const reportingVmsLimit = (account.maxConcurrent * (reportingVmCount + 1)) / vmCount;
  const runningOnPeers = findAccount(pool.poolId, account.accountId)?.running ?? 0;
  return Math.max(
    0,
    Math.floor(reportingVmsLimit - runningOnPeers + computeRoundingOffset(rank, vmCount)),
  );
};

const listDemands = (pool: PoolState): readonly AccountDemand[] => {
  const peerUsage = pool.peerUsage.listAccounts(pool.poolId);
  const peerOnlyDemands = peerUsage
    .filter((usage) => !pool.accounts.has(usage.accountId))
    .map(({ accountId, weight, running, waiting }) => ({
      accountId,
      weight,
      demand: running + waiting,
      uncappedDemand: running + waiting,
    }));
  const localDemands = [...pool.accounts.values()].map((account) => {
    const usage = pool.peerUsage.findAccount(pool.poolId, account.accountId);
    const uncappedDemand = account.reportedDemand + (usage ? usage.running + usage.waiting : 0);
    return {
      accountId: account.accountId,
      weight: account.weight,
      demand: Math.min(uncappedDemand, account.maxConcurrent ?? Infinity),
      uncappedDemand,
    };
  });
  return [...peerOnlyDemands, ...localDemands].filter(({ demand }) => demand > 0);
};

const sumWeights = (weighted: Iterable<{ readonly weight: number }>): number => {
  let sum = 0;
  for (const { weight } of weighted) sum += weight;
  return sum;
};

const computePoolShares = (pool: PoolState): PoolShares => {
  const { vmCount, reportingVmCount } = pool.peerUsage;
  const unreservedCapacity = pool.capacity - Math.floor(pool.capacity * RESERVED_CAPACITY_FRACTION);
  const capacity = (unreservedCapacity * (reportingVmCount + 1)) / vmCount;
  const demands = listDemands(pool);
  const shares = computeMaxMinShares(capacity, demands);
  const accountsWithUnreportedDemand = [...pool.accounts.values()].filter(
    (one) => countUnreportedDemand(one) > 0,
  );
  const reportedAccountIds = new Set(demands.map(({ accountId }) => accountId));
  const isUnreported = ({ accountId }: AccountState): boolean => !reportedAccountIds.has(accountId);
  const allocated = shares.reduce((sum, share) => sum + share, 0);
  return {
    computedAtMs: Date.now(),
    capacity,
    spareCapacity: Math.max(0, capacity - allocated),
    totalWeight:
      sumWeights(demands) + sumWeights(accountsWithUnreportedDemand.filter(isUnreported)),
    unreportedWeight: sumWeights(accountsWithUnreportedDemand),
    sharesByAccount: new Map(
      demands.map(({ accountId, uncappedDemand }, index) => [
        accountId,
        { demand: uncappedDemand, share: shares[index] ?? 0 },
      ]),
    ),
  };
};

/**
 * Divides a pool's capacity among client accounts by weighted max-min fairness across the fleet,
 * based on the usage reports that the VMs exchange. An account's share is divided among the VMs in
 * proportion to the account's demand on each.
 *
 * Demand that has not been reported yet may start immediately only within an even split of the
 * account's fair share, or of unused capacity. The fleet therefore runs at most twice its capacity
 * plus one request per VM and account, and only until the next usage report.
 */
export class FairSharePolicy extends AdmissionPolicy {
  private readonly sharesByPool = new Map<PoolId, PoolShares>();

  override countSlots(pool: PoolState, account: AccountState): number {
    const shares = this.getPoolShares(pool);
    const { vmCount, rank } = pool.peerUsage;
    const accountShare = shares.sharesByAccount.get(account.accountId);
    const share = accountShare?.share ?? 0;
    const reportedDemand = accountShare?.demand ?? 0;
    const localShare =
      reportedDemand > 0 ? Math.min(share, (share * account.reportedDemand) / reportedDemand) : 0;
    const isDemandMet = share >= reportedDemand;
    const slots = isDemandMet
      ? localShare
      : Math.floor(localShare + computeRoundingOffset(rank, vmCount));
    return Math.min(
      slots + countUnreportedSlots(pool, account, shares),
      countSlotsWithinLimit(pool, account),
    );
  }

  override invalidate(): void {
    this.sharesByPool.clear();
  }

  override compareAccounts(_pool: PoolState, left: AccountState, right: AccountState): number {
    const priorityOrder = left.queues.highestPriority - right.queues.highestPriority;
    return priorityOrder || left.running / left.weight - right.running / right.weight;
  }

  override computeLocalRatePerSecond(
    pool: PoolState,
    account: AccountState,
    fleetRatePerSecond: number,
  ): number {
    const { vmCount, reportingVmCount, findAccount } = pool.peerUsage;
    const ownOfferedPerSecond = account.computeOfferedPerSecond();
    const peersOfferedPerSecond =
      findAccount(pool.poolId, account.accountId)?.offeredPerSecond ?? 0;
    const evenRatePerSecond = fleetRatePerSecond / vmCount;
    if (reportingVmCount === 0) return evenRatePerSecond;
    const reportingVmsRatePerSecond = (fleetRatePerSecond * (reportingVmCount + 1)) / vmCount;
    const demandRatePerSecond =
      ownOfferedPerSecond > 0
        ? (reportingVmsRatePerSecond * ownOfferedPerSecond) /
          (ownOfferedPerSecond + peersOfferedPerSecond)
        : 0;
    return EVEN_RATE_FRACTION * evenRatePerSecond + (1 - EVEN_RATE_FRACTION) * demandRatePerSecond;
  }

  private getPoolShares(pool: PoolState): PoolShares {
    const cached = this.sharesByPool.get(pool.poolId);
    if (cached && Date.now() - cached.computedAtMs < FAIR_SHARES_TTL_MS) return cached;
    const shares = computePoolShares(pool);
    this.sharesByPool.set(pool.poolId, shares);
    return shares;
  }
}
