import { toId } from '@goldcrestscale/core';
import type { AdmissionQueue, AdmissionRequest, PoolId } from '@goldcrestscale/core';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

/** Dependencies of the admission filter. */
export interface AdmissionFilterOptions {
  readonly queue: Pick<AdmissionQueue, 'acquire'>;
  countCapacity(poolId: PoolId): number;
}

/** Returns the id of the upstream pool that serves an exchange. */
export const getPoolId = ({ target }: Pick<Exchange, 'target'>): PoolId =>
  toId<PoolId>(
    target.kind === 'completion' ? `engine/${target.model}` : `service/${target.service}`,
  );

const buildAdmissionRequest = (exchange: Exchange, poolId: PoolId): AdmissionRequest => {
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

/** Admits a request within its client account's share; holds the permit until it ends. */
export class AdmissionFilter extends Filter {
  override readonly name = 'admission';

  constructor(private readonly options: AdmissionFilterOptions) {
    super();
  }

  override async handle(exchange: Exchange, next: NextFilter): Promise<void> {
    const poolId = getPoolId(exchange);
    if (this.options.countCapacity(poolId) === 0) {
      // Queueing can't succeed without capacity; the dispatch filter refuses with the exact reason.
      await next();
      return;
    }
    const permit = await this.options.queue.acquire(
      buildAdmissionRequest(exchange, poolId),
      exchange.signal,
    );
    try {
      await next();
    } finally {
      permit.release();
    }
  }
}
