import { ShardAccess, pickShard } from '@goldcrestscale/core';
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
import { MeshError } from '../../mesh/index.js';
import type { PeerLink } from '../../mesh/index.js';
import { SHARD_PEER_TIMEOUT_MS } from './constants.js';
import { claimMessage, settleMessage, statusMessage, waitMessage } from './onceMessages.js';
import type { ShardServers } from './shardServers.js';

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
    const { link, servers } = this.options;
    const shard = this.pickShardOf(request.claim);
    const serverVm = this.findRemoteServer(shard);
    if (!serverVm) return servers.getServer(shard).claim(request);
    try {
      return await claimMessage.request(link, serverVm, request, signal, SHARD_PEER_TIMEOUT_MS);
    } catch (error) {
      const reply = await servers.getServer(shard).claim(request);
      // The peer may have appended the claim although its answer did not come.
      const isUntouched = error instanceof MeshError && !error.mayHaveBeenHandled;
      return reply.type === 'unavailable' && !isUntouched ? { type: 'unsettled' } : reply;
    }
  }

  override async waitForChange(holder: ClaimRecord, signal: AbortSignal): Promise<void> {
    const { link, servers } = this.options;
    const shard = this.pickShardOf(holder);
    const serverVm = this.findRemoteServer(shard);
    if (serverVm) await waitMessage.request(link, serverVm, holder, signal);
    else await servers.getServer(shard).waitForChange(holder, holder.attemptId, signal);
  }

  override async settle(record: SettlementRecord, signal: AbortSignal): Promise<void> {
    const { link, servers } = this.options;
    const shard = this.pickShardOf(record);
    const serverVm = this.findRemoteServer(shard);
    if (serverVm) {
      try {
        await settleMessage.request(link, serverVm, record, signal, SHARD_PEER_TIMEOUT_MS);
        return;
      } catch {
        // Falls through to this VM: a second copy of a settlement changes nothing.
      }
    }
    await servers.getServer(shard).settle(record);
  }

  override askClaimant(holder: ClaimRecord, signal: AbortSignal): Promise<AttemptStatus> {
    const { attemptId, bootId, vmId } = holder;
    return statusMessage.request(this.options.link, vmId, { attemptId, bootId }, signal);
  }

  private pickShardOf(accountKey: AccountKey): ShardId {
    return pickShard(accountKey, this.options.shardCount);
  }

  /** @returns undefined where this VM serves the shard */
  private findRemoteServer(shard: ShardId): VmId | undefined {
    const serverVm = this.options.servers.pickServer(shard);
    return serverVm === this.options.vmId ? undefined : serverVm;
  }
}
