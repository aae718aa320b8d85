import { UsageExchange } from './usageExchange.js';
import type { PeerUsage } from './usageExchange.js';

/** Used where usage cannot be exchanged; limits this VM to an even split of the capacity. */
export class IsolatedUsageExchange extends UsageExchange {
  constructor(
    private readonly countVms: () => number,
    private readonly getRank: () => number = () => 0,
  ) {
    super();
  }

  override getPeerUsage(): PeerUsage {
    return {
      vmCount: Math.max(1, this.countVms()),
      reportingVmCount: 0,
      rank: this.getRank(),
      listAccounts: () => [],
      findAccount: () => undefined,
    };
  }
}
