import { UsageExchange } from './usage.js';
import type { PeerUsage } from './usage.js';

/** Used where usage cannot be exchanged; limits this VM to an even split of the capacity. */
export class IsolatedUsageExchange extends UsageExchange {
  constructor(
    private readonly countVms: () => number,
    private readonly getRank: () => number = () => 0,
  ) {
    super();
  }

  override getOthers(): PeerUsage {
    return {
      vmCount: Math.max(1, this.countVms()),
      heardCount: 0,
      rank: this.getRank(),
      listAccounts: () => [],
      findAccount: () => undefined,
    };
  }
}
