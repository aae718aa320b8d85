import { randomUUID } from 'node:crypto';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { getNow, sleep } from '@goldcrestscale/core';
import type { EntryHeartbeat, Moment, VmId, ZoneRelays } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { FEED_ASK_MS, FEED_RETRY_MS, FEED_SILENCE_MS } from '../constants.js';
import type { KeyedRecord } from '../ports/index.js';
import { splitAddress } from '../socketAddress.js';
import { encodeFeedContent } from './feedMessage.js';
import type { FeedMessage, RelayedBatch, RelayedBlocks, RelayedPosition } from './feedMessage.js';
import { FeedReader } from './feedReader.js';
import { FeedWriter } from './feedWriter.js';

/** What a follower does with what its relay tells. */
export interface FeedClientOptions {
  readonly self: VmId;
  /** Proves this VM's messages. */
  readonly key: string;
  readonly relays: ZoneRelays;
  readonly logger: Logger;
  readonly onBatch: (batch: RelayedBatch) => void;
  /** @param askedAt moment at which the relay had not yet been asked for the position */
  readonly onPosition: (position: RelayedPosition, requestedAt: Moment) => void;
  readonly onBlockChanges: (blocks: RelayedBlocks) => void;
  readonly onEnd: () => void;
}

interface Link {
  readonly socket: Socket;
  readonly writer: FeedWriter;
  heardAtMs: number;
}

const sendMessage = ({ socket, writer }: Link, message: FeedMessage): void => {
  socket.write(writer.encode(encodeFeedContent(message)));
};

/** Follows a relay of this VM's zone; where none answers, the readers ask the log themselves. */
export class FeedClient {
  private link: Link | undefined;

  private question = 0;

  private requestedAt = getNow();

  private readonly failedAtMs = new Map<VmId, number>();

  constructor(private readonly options: FeedClientOptions) {}

  /** Asks the relay to write a heartbeat with its own; false where none is there to do it. */
  forwardHeartbeat(record: KeyedRecord): boolean {
    const { link } = this;
    if (!link || performance.now() - link.heardAtMs > 2 * FEED_ASK_MS) return false;
    sendMessage(link, { kind: 'heartbeat', record });
    return true;
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const relay = this.pickRelay();
      if (relay) {
        const reason = await this.followRelay(relay, signal);
        if (signal.aborted) return;
        this.options.logger.warn('relay lost', { relay: relay.vmId, reason });
        this.failedAtMs.set(relay.vmId, performance.now());
        this.options.onEnd();
      }
      await sleep(FEED_ASK_MS, signal);
    }
  }

  private pickRelay(): EntryHeartbeat | undefined {
    const { relays } = this.options;
    if (relays.isSelf) return undefined;
    const nowMs = performance.now();
    return relays
      .listOwn()
      .find(({ vmId }) => nowMs - (this.failedAtMs.get(vmId) ?? -Infinity) > FEED_RETRY_MS);
  }

  /** @returns why it ended */
  private followRelay(relay: EntryHeartbeat, signal: AbortSignal): Promise<string> {
    const nonce = randomUUID();
    const { host, port } = splitAddress(relay.meshAddress);
    const socket = connect({ host, port, noDelay: true });
    const link = {
      socket,
      writer: new FeedWriter({ key: this.options.key, nonce }),
      heardAtMs: performance.now(),
    };
    const reader = new FeedReader(() => ({ key: relay.meshKey, nonce }));
    return new Promise((resolve) => {
      let reason = 'closed';
      const finish = (why: string): void => {
        reason = why;
        socket.destroy();
      };
      const abort = (): void => finish('shutting down');
      const timer = setInterval(() => this.checkLink(link, relay, finish), FEED_ASK_MS);
      signal.addEventListener('abort', abort);
      socket.on('connect', () => {
        this.link = link;
        sendMessage(link, { kind: 'hello', vmId: this.options.self, nonce });
        this.ask(link);
      });
      socket.on('data', (chunk) => {
        link.heardAtMs = performance.now();
        try {
          reader.push(chunk).forEach((message) => this.receive(message));
        } catch (cause) {
          finish(String(cause));
        }
      });
      socket.on('error', (error) => finish(String(error)));
      socket.on('close', () => {
        clearInterval(timer);
        signal.removeEventListener('abort', abort);
        if (this.link === link) this.link = undefined;
        resolve(reason);
      });
    });
  }

  private checkLink(link: Link, relay: EntryHeartbeat, finish: (reason: string) => void): void {
    const { relays } = this.options;
    const isRelay = relays.listOwn().some(({ vmId }) => vmId === relay.vmId);
    if (performance.now() - link.heardAtMs > FEED_SILENCE_MS) finish('silent');
    else if (!isRelay || relays.isSelf) finish('no relay any more');
    else if (this.link === link) this.ask(link);
  }

  /** One question at a time: the answer proves what was known when it was asked. */
  private ask(link: Link): void {
    this.question += 1;
    this.requestedAt = getNow();
    sendMessage(link, { kind: 'ask', question: this.question });
  }

  private receive(message: FeedMessage): void {
    const { onBatch, onPosition, onBlockChanges } = this.options;
    if (message.kind === 'several') message.messages.forEach((one) => this.receive(one));
    else if (message.kind === 'batch') onBatch(message.batch);
    else if (message.kind === 'blocks') onBlockChanges(message.blocks);
    else if (message.kind === 'positions' && message.question === this.question) {
      message.positions.forEach((position) => onPosition(position, this.requestedAt));
    }
  }
}
