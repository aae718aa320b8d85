import { sleep } from '@goldcrestscale/core';
import type { LogOffset, RandomGenerator, VmId } from '@goldcrestscale/core';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { PeerLink } from '../../mesh/index.js';
import {
  HINT_FANOUT,
  PEER_ANSWER_TIMEOUT_MS,
  PEER_ASK_AGE_MS,
  PEER_ASK_COUNT,
  PEER_ASK_INTERVAL_MS,
} from './constants.js';
import type { TableController } from './tableController.js';
import { offsetMessage, stateMessage } from './tableMessages.js';

/** What the exchange of tables between peers needs. */
export interface TablePeersOptions {
  readonly table: TableController;
  readonly link: PeerLink;
  readonly generator: RandomGenerator;
}

/**
 * Passes new offsets on to peers, and gets the table from them while the log can't be read.
 * How old a table may be is no matter of this exchange; the membership's heartbeats carry it.
 */
export class TablePeers {
  constructor(private readonly options: TablePeersOptions) {}

  /** Starts the work; it ends when the signal aborts. */
  start(signal: AbortSignal): void {
    const { link, table } = this.options;
    offsetMessage.register(link, ({ nextOffset }) => table.noteOffset(nextOffset));
    stateMessage.register(link, ({ aboveOffset }) => ({
      state: table.offset > aboveOffset ? table.exportState() : null,
    }));
    table.subscribe(({ nextOffset }) => this.publishOffset(nextOffset), signal);
    this.follow(signal).catch(() => undefined);
  }

  private publishOffset(nextOffset: LogOffset): void {
    this.pickPeers(HINT_FANOUT).forEach((vmId) => {
      offsetMessage.send(this.options.link, vmId, { nextOffset });
    });
  }

  /** Picks peers at random without repetition. */
  private pickPeers(count: number): VmId[] {
    const peers = this.options.link.listConnected().map((peer) => peer.vmId);
    const picked: VmId[] = [];
    while (picked.length < count && peers.length > 0) {
      const index = uniformInt(this.options.generator, 0, peers.length - 1);
      picked.push(...peers.splice(index, 1));
    }
    return picked;
  }

  private async follow(signal: AbortSignal): Promise<void> {
    const { table } = this.options;
    while (!signal.aborted) {
      await sleep(PEER_ASK_INTERVAL_MS, signal);
      if (!signal.aborted && (!table.isLogReadable || table.getAgeMs() > PEER_ASK_AGE_MS)) {
        const peers = this.pickPeers(PEER_ASK_COUNT);
        await Promise.all(peers.map((vmId) => this.askPeer(vmId, signal)));
      }
    }
  }

  private async askPeer(vmId: VmId, signal: AbortSignal): Promise<void> {
    const { link, table } = this.options;
    const request = { aboveOffset: table.offset };
    try {
      const reply = await stateMessage.request(link, vmId, request, signal, PEER_ANSWER_TIMEOUT_MS);
      if (reply.state) table.acceptPeerState(reply.state);
    } catch {
      // Another peer, or the next round, may answer.
    }
  }
}

/** Creates the exchange of tables between peers. */
export const createTablePeers = (options: TablePeersOptions): TablePeers => new TablePeers(options);
