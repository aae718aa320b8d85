import type { Brand, ClientAccountId } from '../ids.js';

/** Identifies the resource that requests compete for: a model or a plain service. */
export type PoolId = Brand<string, 'PoolId'>;

/** Usage of one pool by one client account. */
export interface AccountUsage {
  readonly poolId: PoolId;
  readonly accountId: ClientAccountId;
  readonly weight: number;
  readonly running: number;
  /** Requests waiting for admission. */
  readonly waiting: number;
  /** Rate of arriving requests, including refused ones. */
  readonly offeredPerSecond: number;
}

/** Usage of the other entry VMs as known to this VM. */
export interface PeerUsage {
  /** Number of entry VMs in the fleet, including this one. */
  readonly vmCount: number;
  /** Number of other VMs whose usage is known. */
  readonly reportingVmCount: number;
  /** Zero-based index of this VM among the entry VMs. */
  readonly rank: number;
  /** Lists the usage of active accounts, summed over the other VMs. */
  listAccounts(poolId: PoolId): readonly AccountUsage[];
  findAccount(poolId: PoolId, accountId: ClientAccountId): AccountUsage | undefined;
}

/** Provides the usage reported by the other entry VMs. */
export abstract class UsageExchange {
  abstract getPeerUsage(): PeerUsage;
}
