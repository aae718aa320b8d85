import { SocketShare } from './socketShare.js';
import type { ShareLimits } from './socketShare.js';

/** The sockets that a process may have open, with one limit for all of its parts. */
export class SocketBudget {
  private readonly shares: SocketShare[] = [];

  constructor(readonly limit: number) {}

  createShare(limits: ShareLimits): SocketShare {
    const share = new SocketShare(limits, () => this.sumTaken() < this.limit);
    this.shares.push(share);
    return share;
  }

  /** Sums up what is open, or reserved where less is open. */
  private sumTaken(): number {
    return this.shares.reduce(
      (sum, { openCount, limits }) => sum + Math.max(openCount, limits.reserved),
      0,
    );
  }
}
