import { ShardAccess, pickShard } from '@goldcrestscale/core';
import type {
  ScopedIdempotencyKey,
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
import type { PeerTransport } from '../../mesh/index.js';
import { SHARD_REQUEST_TIMEOUT_MS } from './constants.js';
import { claimMessage, settleMessage, statusMessage, waitMessage } from './claimMessages.js';
import type { ShardServers } from './shardServers.js';

/** Options of the shard access. */
export interface MeshShardAccessOptions {
  readonly vmId: VmId;
  readonly shardCount: number;
  readonly link: PeerTransport;
  readonly servers: ShardServers;
}

/**
 * Accesses shards at other entry VMs over the mesh, and falls back to a local server on failure.
 */
export class MeshShardAccess extends ShardAccess {
  constructor(private readonly options: MeshShardAccessOptions) {
    super();
  }

  override async claim(request: ClaimRequest, signal: AbortSignal): Promise<ClaimReply> {
    const { link } = this.options;
    const shard = this.pickShardOf(request.claim);
    let isKnownUnclaimed = true;
    for (const vmId of this.listPreferredServers(shard)) {
      try {
        return await claimMessage.request(link, vmId, request, signal, SHARD_REQUEST_TIMEOUT_MS);
      } catch (error) {
        isKnownUnclaimed &&= error instanceof MeshError && !error.mayHaveBeenHandled;
      }
    }
    const reply = await this.getLocalServer(shard).claim(request);
    // A peer may have appended the claim although its reply was lost.
    return reply.type === 'unavailable' && !isKnownUnclaimed ? { type: 'unsettled' } : reply;
  }

  override async waitForChange(holder: ClaimRecord, signal: AbortSignal): Promise<void> {
    const { link } = this.options;
    const shard = this.pickShardOf(holder);
    const [vmId] = this.listPreferredServers(shard);
    if (vmId) await waitMessage.request(link, vmId, holder, signal);
    else await this.getLocalServer(shard).waitForChange(holder, holder.attemptId, signal);
  }

  override async settle(record: SettlementRecord, signal: AbortSignal): Promise<void> {
    const { link } = this.options;
    const shard = this.pickShardOf(record);
    for (const vmId of this.listPreferredServers(shard)) {
      try {
        await settleMessage.request(link, vmId, record, signal, SHARD_REQUEST_TIMEOUT_MS);
        return;
      } catch {
        // The next VM appends it: settlements are idempotent.
      }
    }
    await this.getLocalServer(shard).settle(record);
  }

  override fetchAttemptStatus(holder: ClaimRecord, signal: AbortSignal): Promise<AttemptStatus> {
    const { attemptId, bootId, vmId } = holder;
    return statusMessage.request(this.options.link, vmId, { attemptId, bootId }, signal);
  }

  private pickShardOf(accountKey: ScopedIdempotencyKey): ShardId {
    return pickShard(accountKey, this.options.shardCount);
  }

  private getLocalServer(shard: ShardId): ShardServer {
    return this.options.servers.getServer(shard);
  }

  /**
   * Lists the VMs ranked before this one for a shard, or all ranked VMs if this one is not ranked.
   */
  private listPreferredServers(shard: ShardId): readonly VmId[] {
    const ranked = this.options.servers.rankServers(shard);
    const ownRank = ranked.indexOf(this.options.vmId);
    return ownRank < 0 ? ranked : ranked.slice(0, ownRank);
  }
}
