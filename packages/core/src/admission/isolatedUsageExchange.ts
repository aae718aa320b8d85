import { UsageExchange } from './usage.js';
import type { OthersUsage } from './usage.js';

/** Stands in where no usage can be exchanged: this VM keeps to an even part. */
export class IsolatedUsageExchange extends UsageExchange {
  constructor(
    private readonly countVms: () => number,
    private readonly getRank: () => number = () => 0,
  ) {
    super();
  }

  override getOthers(): OthersUsage {
    return {
      vmCount: Math.max(1, this.countVms()),
      heardCount: 0,
      rank: this.getRank(),
      listAccounts: () => [],
      findAccount: () => undefined,
    };
  }
}
