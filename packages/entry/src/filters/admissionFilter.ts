import { toId } from '@goldcrestscale/core';
import type { AdmissionQueue, AdmissionRequest, PoolId } from '@goldcrestscale/core';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

/** What the admission filter needs. */
export interface AdmissionOptions {
  readonly queue: Pick<AdmissionQueue, 'acquire'>;
  countCapacity(poolId: PoolId): number;
}

/** Names the pool that serves an exchange. */
export const getPoolId = ({ target }: Pick<Exchange, 'target'>): PoolId =>
  toId<PoolId>(
    target.kind === 'completion' ? `engine/${target.model}` : `service/${target.service}`,
  );

const buildRequest = (exchange: Exchange, poolId: PoolId): AdmissionRequest => {
  const { account, workload } = exchange;
  if (!account || !workload) throw new TypeError('the account filter has not run');
  return {
    poolId,
    accountId: account.id,
    accountWeight: account.weight,
    workloadId: workload.id,
    workloadWeight: workload.weight,
    priority: workload.priority,
    deadlineAtMs: exchange.deadlineAtMs ?? exchange.receivedAtMs + workload.deadlineMs,
    maxRequestsPerSecond: account.maxRequestsPerSecond,
    maxConcurrent: account.maxConcurrent,
  };
};

/** Holds a place of the client account's share for as long as the request runs. */
export class AdmissionFilter extends Filter {
  override readonly name = 'admission';

  constructor(private readonly options: AdmissionOptions) {
    super();
  }

  override async handle(exchange: Exchange, next: NextFilter): Promise<void> {
    const poolId = getPoolId(exchange);
    if (this.options.countCapacity(poolId) === 0) {
      // Waiting would not help; dispatch refuses at once and says why.
      await next();
      return;
    }
    const permit = await this.options.queue.acquire(
      buildRequest(exchange, poolId),
      exchange.signal,
    );
    try {
      await next();
    } finally {
      permit.release();
    }
  }
}
