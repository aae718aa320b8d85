import type { Brand, ClientAccountId } from '../ids.js';

/** Names what requests compete for: a model or a plain service. */
export type PoolId = Brand<string, 'PoolId'>;

/** Use of one pool by one account. */
export interface AccountUsage {
  readonly poolId: PoolId;
  readonly accountId: ClientAccountId;
  readonly weight: number;
  /** Requests running now. */
  readonly running: number;
  /** Requests waiting for admission now. */
  readonly waiting: number;
  /** Requests offered a second, refused ones included. */
  readonly offeredPerSecond: number;
}

/** What this VM knows of the other entry VMs. */
export interface OthersUsage {
  /** Entry VMs of the fleet, this one included. */
  readonly vmCount: number;
  /** Other VMs whose usage is known. */
  readonly heardCount: number;
  /** Place of this VM among all, from 0. */
  readonly rank: number;
  /** Sums over the other VMs, active accounts only. */
  listAccounts(poolId: PoolId): readonly AccountUsage[];
  findAccount(poolId: PoolId, accountId: ClientAccountId): AccountUsage | undefined;
}

/** Exchanges usage with the other entry VMs. */
export abstract class UsageExchange {
  abstract getOthers(): OthersUsage;
}
