import type { ClientAccountId } from '../ids.js';
import type { AccountState } from './accountState.js';
import { AdmissionPolicy } from './admissionPolicy.js';
import {
  EVEN_RATE_PART,
  ROUNDING_INTERVAL_MS,
  RESERVED_CAPACITY_PART,
  SHARES_EXPIRY_MS,
} from './constants.js';
import type { PoolState } from './poolState.js';
import { computeShares } from './shares.js';
import type { ShareDemand } from './shares.js';
import type { PoolId } from './usage.js';

/** Shares of one pool over the whole fleet. */
interface PoolShares {
  readonly computedAtMs: number;
  /** Capacity that this VM and the ones it hears of may use. */
  readonly capacity: number;
  readonly spare: number;
  /** Weight of the accounts with any demand. */
  readonly totalWeight: number;
  /** Weight of the accounts with demand here that the other VMs have not heard of. */
  readonly unpublishedWeight: number;
  readonly accounts: ReadonlyMap<ClientAccountId, FleetShare>;
}

interface FleetShare {
  /** Demand that every VM knows of. */
  readonly demand: number;
  readonly share: number;
}

/** Demand of one account over the fleet. */
interface KnownDemand extends ShareDemand {
  readonly accountId: ClientAccountId;
  /** Demand without regard to the account's limit. */
  readonly whole: number;
}

const GOLDEN_RATIO = 0.618_033_988_749_895;

/** Spreads the rounding of fractional slots evenly over the VMs, and over time at each of them. */
const pickRounding = (rank: number, vmCount: number): number => {
  const turn = Math.floor(Date.now() / ROUNDING_INTERVAL_MS);
  return ((rank + 0.5) / vmCount + turn * GOLDEN_RATIO) % 1;
};

const countUnpublished = (account: AccountState): number =>
  Math.max(0, account.demand - account.publishedDemand);

/** Counts the places for demand that the other VMs have not heard of. */
const countEarlySlots = (pool: PoolState, account: AccountState, shares: PoolShares): number => {
  const unpublished = countUnpublished(account);
  if (unpublished === 0) return 0;
  const { vmCount, heardCount, rank } = pool.others;
  const limit = account.maxConcurrent ?? Infinity;
  const known = shares.accounts.get(account.accountId)?.demand ?? 0;
  const fair = Math.min(
    limit,
    (shares.capacity * account.weight) / Math.max(shares.totalWeight, account.weight),
  );
  const isWithinShare = known + unpublished <= fair;
  const spare =
    (shares.spare * account.weight) / Math.max(shares.unpublishedWeight, account.weight);
  const total = isWithinShare ? Math.max(spare, fair) : spare;
  const early = Math.min(total, Math.max(0, limit - known)) / (heardCount + 1);
  const least = isWithinShare ? 1 : 0;
  return Math.min(unpublished, Math.max(least, Math.floor(early + pickRounding(rank, vmCount))));
};

/** Counts the places that an account's own limit leaves here. */
const countConcurrent = (pool: PoolState, account: AccountState): number => {
  if (account.maxConcurrent === undefined) return Infinity;
  const { vmCount, heardCount, rank, findAccount } = pool.others;
  const heard = (account.maxConcurrent * (heardCount + 1)) / vmCount;
  const others = findAccount(pool.poolId, account.accountId)?.running ?? 0;
  return Math.max(0, Math.floor(heard - others + pickRounding(rank, vmCount)));
};

const listDemands = (pool: PoolState): readonly KnownDemand[] => {
  const others = pool.others.listAccounts(pool.poolId);
  const elsewhere = others
    .filter((usage) => !pool.accounts.has(usage.accountId))
    .map(({ accountId, weight, running, waiting }) => ({
      accountId,
      weight,
      demand: running + waiting,
      whole: running + waiting,
    }));
  const here = [...pool.accounts.values()].map((account) => {
    const usage = pool.others.findAccount(pool.poolId, account.accountId);
    const whole = account.publishedDemand + (usage ? usage.running + usage.waiting : 0);
    return {
      accountId: account.accountId,
      weight: account.weight,
      demand: Math.min(whole, account.maxConcurrent ?? Infinity),
      whole,
    };
  });
  return [...elsewhere, ...here].filter(({ demand }) => demand > 0);
};

const sumWeights = (weighted: Iterable<{ readonly weight: number }>): number => {
  let sum = 0;
  for (const { weight } of weighted) sum += weight;
  return sum;
};

const computePoolShares = (pool: PoolState): PoolShares => {
  const { vmCount, heardCount } = pool.others;
  const shared = pool.capacity - Math.floor(pool.capacity * RESERVED_CAPACITY_PART);
  const capacity = (shared * (heardCount + 1)) / vmCount;
  const demands = listDemands(pool);
  const shares = computeShares(capacity, demands);
  const unpublished = [...pool.accounts.values()].filter((one) => countUnpublished(one) > 0);
  const heard = new Set(demands.map(({ accountId }) => accountId));
  const isUnheard = ({ accountId }: AccountState): boolean => !heard.has(accountId);
  const used = shares.reduce((sum, share) => sum + share, 0);
  return {
    computedAtMs: Date.now(),
    capacity,
    spare: Math.max(0, capacity - used),
    totalWeight: sumWeights(demands) + sumWeights(unpublished.filter(isUnheard)),
    unpublishedWeight: sumWeights(unpublished),
    accounts: new Map(
      demands.map(({ accountId, whole }, index) => [
        accountId,
        { demand: whole, share: shares[index] ?? 0 },
      ]),
    ),
  };
};

/**
 * Weighted max-min shares of the accounts over the whole fleet, from the usage that the VMs tell one
 * another. A VM gets the part of an account's share that it has of the account's demand.
 *
 * Demand that the other VMs have not heard of starts at once only as far as an even part of the
 * account's own fair share, or of what nobody uses, allows. So the fleet runs at most twice its
 * capacity and one request a VM and account, and that only until the next exchange.
 */
export class FairSharePolicy extends AdmissionPolicy {
  private readonly pools = new Map<PoolId, PoolShares>();

  override countSlots(pool: PoolState, account: AccountState): number {
    const shares = this.getShares(pool);
    const { vmCount, rank } = pool.others;
    const known = shares.accounts.get(account.accountId);
    const share = known?.share ?? 0;
    const demand = known?.demand ?? 0;
    const part = demand > 0 ? Math.min(share, (share * account.publishedDemand) / demand) : 0;
    const isWhole = share >= demand;
    const slots = isWhole ? part : Math.floor(part + pickRounding(rank, vmCount));
    return Math.min(slots + countEarlySlots(pool, account, shares), countConcurrent(pool, account));
  }

  override invalidate(): void {
    this.pools.clear();
  }

  override compareAccounts(_pool: PoolState, left: AccountState, right: AccountState): number {
    const priorities = left.queues.bestPriority - right.queues.bestPriority;
    return priorities || left.running / left.weight - right.running / right.weight;
  }

  override computeRate(pool: PoolState, account: AccountState, perSecond: number): number {
    const { vmCount, heardCount, findAccount } = pool.others;
    const own = account.computeOffered();
    const others = findAccount(pool.poolId, account.accountId)?.offeredPerSecond ?? 0;
    const even = perSecond / vmCount;
    if (heardCount === 0) return even;
    const heard = (perSecond * (heardCount + 1)) / vmCount;
    const byDemand = own > 0 ? (heard * own) / (own + others) : 0;
    return EVEN_RATE_PART * even + (1 - EVEN_RATE_PART) * byDemand;
  }

  private getShares(pool: PoolState): PoolShares {
    const known = this.pools.get(pool.poolId);
    if (known && Date.now() - known.computedAtMs < SHARES_EXPIRY_MS) return known;
    const shares = computePoolShares(pool);
    this.pools.set(pool.poolId, shares);
    return shares;
  }
}
