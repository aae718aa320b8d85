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
  PEER_VIEW_LIFETIME_MS,
} from './constants.js';
import type { TableController } from './tableController.js';
import { freshnessMessage, offsetMessage, stateMessage } from './tableMessages.js';

/** What the exchange of tables between peers needs. */
export interface TablePeersOptions {
  readonly table: TableController;
  readonly link: PeerLink;
  readonly generator: RandomGenerator;
}

/** How the peers that answered lately find the log. */
export interface PeerLogView {
  readonly heard: number;
  /** Of those, how many can read the log. */
  readonly readable: number;
}

interface PeerView {
  readonly logReadable: boolean;
  readonly atMs: number;
}

/** Passes new offsets on to peers, and gets the table from them while the log can't be read. */
export class TablePeers {
  private readonly views = new Map<VmId, PeerView>();

  constructor(private readonly options: TablePeersOptions) {}

  /** Starts the work; it ends when the signal aborts. */
  start(signal: AbortSignal): void {
    const { link, table } = this.options;
    offsetMessage.register(link, ({ nextOffset }) => table.noteOffset(nextOffset));
    freshnessMessage.register(link, () => this.describeFreshness());
    stateMessage.register(link, () => table.exportState());
    table.subscribe(({ nextOffset }) => this.publishOffset(nextOffset), signal);
    this.follow(signal).catch(() => undefined);
  }

  /** Tells how the peers that answered lately find the log. */
  getLogView(): PeerLogView {
    const sinceMs = performance.now() - PEER_VIEW_LIFETIME_MS;
    const views = [...this.views.values()].filter((view) => view.atMs >= sinceMs);
    return { heard: views.length, readable: views.filter((view) => view.logReadable).length };
  }

  private describeFreshness() {
    const { table } = this.options;
    const ageMs = table.getAgeMs();
    return {
      nextOffset: table.offset,
      ageMs: Number.isFinite(ageMs) ? ageMs : null,
      logReadable: table.isLogReadable,
    };
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
    const askedAtMs = performance.now();
    try {
      const freshness = await freshnessMessage.request(
        link,
        vmId,
        {},
        signal,
        PEER_ANSWER_TIMEOUT_MS,
      );
      const { nextOffset, ageMs, logReadable } = freshness;
      this.views.set(vmId, { logReadable, atMs: askedAtMs });
      if (nextOffset > table.offset) {
        const state = await stateMessage.request(link, vmId, {}, signal, PEER_ANSWER_TIMEOUT_MS);
        table.acceptPeerState(state);
      }
      if (ageMs !== null) table.noteFreshness({ nextOffset, ageMs, askedAtMs });
    } catch {
      this.views.delete(vmId);
    }
  }
}

/** Creates the exchange of tables between peers. */
export const createTablePeers = (options: TablePeersOptions): TablePeers => new TablePeers(options);
