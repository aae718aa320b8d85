import { sleep } from '@goldcrestscale/core';
import type { LogOffset, RandomGenerator, VmId } from '@goldcrestscale/core';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { PeerTransport } from '../../mesh/index.js';
import {
  OFFSET_GOSSIP_FANOUT,
  TABLE_FETCH_TIMEOUT_MS,
  TABLE_FETCH_MIN_TABLE_AGE_MS,
  TABLE_FETCH_PEER_COUNT,
  TABLE_FETCH_INTERVAL_MS,
} from './constants.js';
import type { ConfigTableController } from './configTableController.js';
import { offsetMessage, stateMessage } from './tableMessages.js';

/** Options of the table exchange between peers. */
export interface TableGossipOptions {
  readonly table: ConfigTableController;
  readonly link: PeerTransport;
  readonly generator: RandomGenerator;
}

/**
 * Gossips new offsets to peers, and fetches the table from them while the log is unreadable.
 * Does not affect the age of the table: peers report the log's head in membership heartbeats.
 */
export class TableGossip {
  constructor(private readonly options: TableGossipOptions) {}

  /** Starts the exchange; it stops when the signal aborts. */
  start(signal: AbortSignal): void {
    const { link, table } = this.options;
    offsetMessage.register(link, ({ nextOffset }) => table.handleOffsetHint(nextOffset));
    stateMessage.register(link, ({ aboveOffset }) => ({
      state: table.offset > aboveOffset ? table.exportState() : null,
    }));
    table.subscribe(({ nextOffset }) => this.publishOffset(nextOffset), signal);
    this.fetchWhileStale(signal).catch(() => undefined);
  }

  private publishOffset(nextOffset: LogOffset): void {
    this.pickPeers(OFFSET_GOSSIP_FANOUT).forEach((vmId) => {
      offsetMessage.send(this.options.link, vmId, { nextOffset });
    });
  }

  /** Picks distinct peers at random. */
  private pickPeers(count: number): VmId[] {
    const peers = this.options.link.listConnectedPeers().map((peer) => peer.vmId);
    const chosen: VmId[] = [];
    while (chosen.length < count && peers.length > 0) {
      const index = uniformInt(this.options.generator, 0, peers.length - 1);
      chosen.push(...peers.splice(index, 1));
    }
    return chosen;
  }

  private async fetchWhileStale(signal: AbortSignal): Promise<void> {
    const { table } = this.options;
    while (!signal.aborted) {
      await sleep(TABLE_FETCH_INTERVAL_MS, signal);
      if (
        !signal.aborted &&
        (!table.isLogReadable || table.getAgeMs() > TABLE_FETCH_MIN_TABLE_AGE_MS)
      ) {
        const peers = this.pickPeers(TABLE_FETCH_PEER_COUNT);
        await Promise.all(peers.map((vmId) => this.fetchFromPeer(vmId, signal)));
      }
    }
  }

  private async fetchFromPeer(vmId: VmId, signal: AbortSignal): Promise<void> {
    const { link, table } = this.options;
    const request = { aboveOffset: table.offset };
    try {
      const reply = await stateMessage.request(link, vmId, request, signal, TABLE_FETCH_TIMEOUT_MS);
      if (reply.state) table.acceptPeerState(reply.state);
    } catch {
      // Another peer or the next round may succeed.
    }
  }
}

/** Creates the table exchange between peers. */
export const createTableGossip = (options: TableGossipOptions): TableGossip =>
  new TableGossip(options);
