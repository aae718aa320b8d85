import { ShardAccess, pickShard } from '@goldcrestscale/core';
import type {
  ScopedIdempotencyKey,
  AttemptStatus,
  ClaimRecord,
  ClaimReply,
  ClaimRequest,
  SettlementRecord,
  ShardServer,
} from '@goldcrestscale/core';
import { sleep } from './sleep.js';

const LINK_MS = 1;

/** Calls shard servers with simulated network latency. */
export class DelayedShardAccess extends ShardAccess {
  constructor(private readonly servers: readonly ShardServer[]) {
    super();
  }

  override async claim(request: ClaimRequest): Promise<ClaimReply> {
    await sleep(LINK_MS);
    const reply = await this.findServer(request.claim).claim(request);
    await sleep(LINK_MS);
    return reply;
  }

  override async waitForChange(holder: ClaimRecord, signal: AbortSignal): Promise<void> {
    await this.findServer(holder).waitForChange(holder, holder.attemptId, signal);
  }

  override async settle(record: SettlementRecord): Promise<void> {
    await sleep(LINK_MS);
    await this.findServer(record).settle(record);
    await sleep(LINK_MS);
  }

  override fetchAttemptStatus(): Promise<AttemptStatus> {
    return Promise.resolve({ type: 'gone' });
  }

  private findServer(accountKey: ScopedIdempotencyKey): ShardServer {
    const server = this.servers[pickShard(accountKey, this.servers.length)];
    if (!server) throw new RangeError('no such shard');
    return server;
  }
}
