import { ShardAccess, pickShard } from '@goldcrestscale/core';
import type {
  AccountKey,
  AttemptStatus,
  ClaimRecord,
  ClaimReply,
  ClaimRequest,
  SettlementRecord,
  ShardId,
  ShardServer,
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
    const { link } = this.options;
    const shard = this.pickShardOf(request.claim);
    let isUntouched = true;
    for (const vmId of this.listRemoteServers(shard)) {
      try {
        return await claimMessage.request(link, vmId, request, signal, SHARD_PEER_TIMEOUT_MS);
      } catch (error) {
        isUntouched &&= error instanceof MeshError && !error.mayHaveBeenHandled;
      }
    }
    const reply = await this.getLocalServer(shard).claim(request);
    // A peer may have appended the claim although its answer did not come.
    return reply.type === 'unavailable' && !isUntouched ? { type: 'unsettled' } : reply;
  }

  override async waitForChange(holder: ClaimRecord, signal: AbortSignal): Promise<void> {
    const { link } = this.options;
    const shard = this.pickShardOf(holder);
    const [vmId] = this.listRemoteServers(shard);
    if (vmId) await waitMessage.request(link, vmId, holder, signal);
    else await this.getLocalServer(shard).waitForChange(holder, holder.attemptId, signal);
  }

  override async settle(record: SettlementRecord, signal: AbortSignal): Promise<void> {
    const { link } = this.options;
    const shard = this.pickShardOf(record);
    for (const vmId of this.listRemoteServers(shard)) {
      try {
        await settleMessage.request(link, vmId, record, signal, SHARD_PEER_TIMEOUT_MS);
        return;
      } catch {
        // The next VM appends it: a second copy of a settlement changes nothing.
      }
    }
    await this.getLocalServer(shard).settle(record);
  }

  override askClaimant(holder: ClaimRecord, signal: AbortSignal): Promise<AttemptStatus> {
    const { attemptId, bootId, vmId } = holder;
    return statusMessage.request(this.options.link, vmId, { attemptId, bootId }, signal);
  }

  private pickShardOf(accountKey: AccountKey): ShardId {
    return pickShard(accountKey, this.options.shardCount);
  }

  private getLocalServer(shard: ShardId): ShardServer {
    return this.options.servers.getServer(shard);
  }

  /** Lists the VMs to ask before this VM serves the shard itself. */
  private listRemoteServers(shard: ShardId): readonly VmId[] {
    const ranked = this.options.servers.rankServers(shard);
    const own = ranked.indexOf(this.options.vmId);
    return own < 0 ? ranked : ranked.slice(0, own);
  }
}
