import {
  ShardAccess,
  attemptStatusSchema,
  claimReplySchema,
  pickShard,
} from '@goldcrestscale/core';
import type {
  AccountKey,
  AttemptStatus,
  ClaimRecord,
  ClaimReply,
  ClaimRequest,
  SettlementRecord,
  ShardId,
  VmId,
} from '@goldcrestscale/core';
import { SHARD_PEER_TIMEOUT_MS } from './constants.js';
import { PeerLinkError } from './peerLink.js';
import type { PeerLink } from './peerLink.js';
import type { ShardServers } from './shardServers.js';

/** Types of the messages between entry VMs about unrepeatable requests. */
export const ONCE_MESSAGES = {
  claim: 'once/claim',
  wait: 'once/wait',
  settle: 'once/settle',
  status: 'once/status',
} as const;

/** What the access to the shards needs. */
export interface LinkedShardAccessOptions {
  readonly vmId: VmId;
  readonly shardCount: number;
  readonly link: PeerLink;
  readonly servers: ShardServers;
}

/** Reaches shards over the link between entry VMs; serves one itself where that fails. */
export class LinkedShardAccess extends ShardAccess {
  constructor(private readonly options: LinkedShardAccessOptions) {
    super();
  }

  override async claim(request: ClaimRequest, signal: AbortSignal): Promise<ClaimReply> {
    const shard = this.pickShardOf(request.claim);
    const serverVm = this.options.servers.pickServer(shard);
    if (serverVm === this.options.vmId) return this.claimHere(shard, request);
    try {
      const reply = await this.requestPeer(serverVm, ONCE_MESSAGES.claim, request, signal);
      return claimReplySchema.parse(reply);
    } catch (error) {
      const reply = await this.claimHere(shard, request);
      const isUntouched = error instanceof PeerLinkError && error.delivered === 'no';
      // The peer may have appended the claim although its answer did not come.
      return reply.type === 'unavailable' && !isUntouched ? { type: 'unsettled' } : reply;
    }
  }

  override async waitForChange(holder: ClaimRecord, signal: AbortSignal): Promise<void> {
    const shard = this.pickShardOf(holder);
    const serverVm = this.options.servers.pickServer(shard);
    if (serverVm === this.options.vmId) await this.waitHere(shard, holder, signal);
    else await this.options.link.request(serverVm, ONCE_MESSAGES.wait, holder, signal);
  }

  override async settle(record: SettlementRecord, signal: AbortSignal): Promise<void> {
    const shard = this.pickShardOf(record);
    const { servers, vmId } = this.options;
    const serverVm = servers.pickServer(shard);
    if (serverVm !== vmId) {
      try {
        await this.requestPeer(serverVm, ONCE_MESSAGES.settle, record, signal);
        return;
      } catch {
        // Fall through: a second copy of a settlement changes nothing.
      }
    }
    await servers.getServer(shard).settle(record);
  }

  override async askClaimant(holder: ClaimRecord, signal: AbortSignal): Promise<AttemptStatus> {
    const { attemptId, bootId, vmId } = holder;
    const payload = { attemptId, bootId };
    const reply = await this.options.link.request(vmId, ONCE_MESSAGES.status, payload, signal);
    return attemptStatusSchema.parse(reply);
  }

  private pickShardOf(accountKey: AccountKey): ShardId {
    return pickShard(accountKey, this.options.shardCount);
  }

  private claimHere(shard: ShardId, request: ClaimRequest): Promise<ClaimReply> {
    return this.options.servers.getServer(shard).claim(request);
  }

  private waitHere(shard: ShardId, holder: ClaimRecord, signal: AbortSignal): Promise<void> {
    const server = this.options.servers.getServer(shard);
    return server.waitForChange(holder, holder.attemptId, signal);
  }

  /** Sends a request that must be answered soon, since this VM can do the work as well. */
  private async requestPeer(
    vmId: VmId,
    type: string,
    payload: unknown,
    signal: AbortSignal,
  ): Promise<unknown> {
    const ending = new AbortController();
    const abort = (): void => ending.abort();
    signal.addEventListener('abort', abort, { once: true, signal: ending.signal });
    const late = new Promise<never>((_, reject) => {
      const refuse = (): void => reject(new PeerLinkError(`VM ${vmId} is late`, 'unknown'));
      ending.signal.addEventListener('abort', refuse, { once: true });
    });
    const timer = setTimeout(abort, SHARD_PEER_TIMEOUT_MS);
    try {
      return await Promise.race([
        this.options.link.request(vmId, type, payload, ending.signal),
        late,
      ]);
    } finally {
      clearTimeout(timer);
      late.catch(() => undefined);
      abort();
    }
  }
}
