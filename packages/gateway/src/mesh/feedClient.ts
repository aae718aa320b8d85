import { randomUUID } from 'node:crypto';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { advanceClockReading, computeMaxElapsedMs, readClocks, sleep } from '@goldcrestscale/core';
import type { EntryHeartbeat, ClockReading, VmId, ZoneRelays } from '@goldcrestscale/core';
import { ByteBudget, EventLoopBarrier } from '@goldcrestscale/runtime';
import type { Logger } from '@goldcrestscale/runtime';
import {
  FEED_TIMEOUT_MS,
  POSITION_POLL_INTERVAL_MS,
  RELAY_CUT_OFF_MS,
  RELAY_RETRY_DELAY_MS,
  RELAY_STALE_MS,
} from '../constants.js';
import type { KeyedRecord } from '../ports/index.js';
import { splitAddress } from '../socketAddress.js';
import { encodeFeedContent } from './feedMessage.js';
import type { FeedMessage, RelayedBatch, RelayedBlocks, RelayedPosition } from './feedMessage.js';
import { FeedReader } from './feedReader.js';
import { FeedWriter } from './feedWriter.js';

/** Maximum size of a message of a relay. The largest messages list all blocks of a large store. */
const MAX_RELAY_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Time within which a message of a relay that has begun must have come, in milliseconds. */
const MAX_RELAY_MESSAGE_MS = 15_000;

/** Time between two checks from which this process counts as having stood still, in milliseconds. */
const MIN_PAUSE_MS = 2 * POSITION_POLL_INTERVAL_MS;

/** Dependencies and callbacks of the client. */
export interface FeedClientOptions {
  readonly self: VmId;
  /** Key that authenticates this VM's messages. */
  readonly key: string;
  readonly relays: ZoneRelays;
  readonly logger: Logger;
  readonly onBatch: (batch: RelayedBatch) => void;
  /** @param requestedAt moment before the position was requested */
  readonly onPosition: (position: RelayedPosition, requestedAt: ClockReading) => void;
  readonly onBlockChanges: (blocks: RelayedBlocks) => void;
  /** Called when the relay can't be relied on to write this VM's heartbeats any more. */
  readonly onRelayLost: () => void;
  /** Whether this VM reads the log itself and gets answers. */
  readonly canReadLog: () => boolean;
}

interface RelayConnection {
  readonly socket: Socket;
  readonly writer: FeedWriter;
  readonly reader: FeedReader;
  /** Newest moment of which the relay proved that it had read a topic of the log up to then. */
  provedAt: ClockReading;
  /** Whether that moment is so old that the relay may be cut off from the log. */
  isStale: boolean;
  /** What `pausedMs` was when data came last. */
  pausedMsAtData: number;
  /** What `pausedMs` was when a proof came last. */
  pausedMsAtProof: number;
}

const sendMessage = ({ socket, writer }: RelayConnection, message: FeedMessage): void => {
  socket.write(writer.encode(encodeFeedContent(message)));
};

/**
 * Follows a relay of this VM's group. Without a reachable relay, the topic readers read the log
 * themselves.
 */
export class FeedClient {
  private connection: RelayConnection | undefined;

  private lastPositionRequest = 0;

  private requestedAt = readClocks();

  private readonly inputBarrier = new EventLoopBarrier();

  /** Monotonic time of the last check of the connection, or of its begin. */
  private checkedAtMs = performance.now();

  /** Time for which this process has stood still between checks, in milliseconds. */
  private pausedMs = 0;

  private readonly lastFailureAtMs = new Map<VmId, number>();

  constructor(private readonly options: FeedClientOptions) {}

  /** Sends a heartbeat for the relay to append with its own; false if no relay is connected. */
  forwardHeartbeat(record: KeyedRecord): boolean {
    const { connection } = this;
    if (!connection || connection.isStale) return false;
    if (performance.now() - connection.reader.receivedAtMs > 2 * POSITION_POLL_INTERVAL_MS)
      return false;
    sendMessage(connection, { kind: 'heartbeat', record });
    return true;
  }

  /** Sends a record of begun streams for the relay to append; false if no relay is connected. */
  forwardStreams(record: KeyedRecord): boolean {
    const { connection } = this;
    if (!connection || connection.isStale) return false;
    // A relay of an earlier version ignores messages in a list that it does not know.
    sendMessage(connection, { kind: 'several', messages: [{ kind: 'streams', record }] });
    return true;
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const relay = this.pickRelay();
      if (relay) {
        const reason = await this.followRelay(relay, signal);
        if (signal.aborted) return;
        this.options.logger.warn('lost connection to relay', { relay: relay.vmId, reason });
        this.lastFailureAtMs.set(relay.vmId, performance.now());
        this.options.onRelayLost();
      }
      await sleep(POSITION_POLL_INTERVAL_MS, signal);
    }
  }

  private pickRelay(): EntryHeartbeat | undefined {
    const { relays } = this.options;
    if (relays.isFeedRelay) return undefined;
    const nowMs = performance.now();
    return relays
      .listOwnFeed()
      .find(
        ({ vmId }) => nowMs - (this.lastFailureAtMs.get(vmId) ?? -Infinity) > RELAY_RETRY_DELAY_MS,
      );
  }

  /** @returns the reason why the connection ended */
  private followRelay(relay: EntryHeartbeat, signal: AbortSignal): Promise<string> {
    const nonce = randomUUID();
    const { host, port } = splitAddress(relay.meshAddress);
    const socket = connect({ host, port, noDelay: true });
    const reader = new FeedReader(
      { key: relay.meshKey, nonce },
      {
        maxMessageBytes: MAX_RELAY_MESSAGE_BYTES,
        budget: new ByteBudget(MAX_RELAY_MESSAGE_BYTES),
      },
    );
    this.checkedAtMs = performance.now();
    const connection = {
      socket,
      writer: new FeedWriter({ key: this.options.key, nonce }),
      reader,
      provedAt: readClocks(),
      isStale: false,
      pausedMsAtData: this.pausedMs,
      pausedMsAtProof: this.pausedMs,
    };
    return new Promise((resolve) => {
      let reason = 'closed';
      const finish = (closeReason: string): void => {
        reason = closeReason;
        socket.destroy();
      };
      const abort = (): void => finish('shutting down');
      const timer = setInterval(() => {
        void this.inputBarrier.run(() => this.checkConnection(connection, relay, finish));
      }, POSITION_POLL_INTERVAL_MS);
      signal.addEventListener('abort', abort);
      socket.on('connect', () => {
        this.connection = connection;
        sendMessage(connection, { kind: 'hello', vmId: this.options.self, nonce });
        this.requestPositions(connection);
      });
      socket.on('data', (chunk) => {
        connection.pausedMsAtData = this.pausedMs;
        try {
          reader.push(chunk).forEach((message) => this.handleMessage(message));
        } catch (cause) {
          finish(String(cause));
        }
      });
      socket.on('error', (error) => finish(String(error)));
      socket.on('close', () => {
        clearInterval(timer);
        signal.removeEventListener('abort', abort);
        if (this.connection === connection) this.connection = undefined;
        resolve(reason);
      });
    });
  }

  private checkConnection(
    connection: RelayConnection,
    relay: EntryHeartbeat,
    finish: (reason: string) => void,
  ): void {
    if (connection.socket.destroyed) return;
    const { relays } = this.options;
    const isRelay = relays.listOwnFeed().some(({ vmId }) => vmId === relay.vmId);
    const nowMs = performance.now();
    this.recordPause(nowMs);
    const { receivedAtMs, partStartedAtMs = nowMs } = connection.reader;
    const silentMs = nowMs - receivedAtMs - (this.pausedMs - connection.pausedMsAtData);
    if (silentMs > FEED_TIMEOUT_MS) finish('timed out');
    else if (nowMs - partStartedAtMs > MAX_RELAY_MESSAGE_MS) finish('incomplete message');
    else if (!isRelay || relays.isFeedRelay) finish('no longer a relay');
    else if (this.isCutOff(connection)) finish('cut off from the log');
    else if (this.connection === connection) {
      this.checkProof();
      this.requestPositions(connection);
    }
  }

  /** A relay only answers, and in a pause of this process it is asked nothing. */
  private recordPause(nowMs: number): void {
    const elapsedMs = nowMs - this.checkedAtMs;
    if (elapsedMs > MIN_PAUSE_MS) this.pausedMs += elapsedMs - POSITION_POLL_INTERVAL_MS;
    this.checkedAtMs = nowMs;
  }

  /** Whether the relay proves no reads, although the log answers this VM. */
  private isCutOff({ provedAt, pausedMsAtProof }: RelayConnection): boolean {
    const ageMs = computeMaxElapsedMs(provedAt) - (this.pausedMs - pausedMsAtProof);
    return ageMs > RELAY_CUT_OFF_MS && this.options.canReadLog();
  }

  private checkProof(): void {
    const { connection } = this;
    if (!connection) return;
    const wasStale = connection.isStale;
    connection.isStale = computeMaxElapsedMs(connection.provedAt) > RELAY_STALE_MS;
    if (connection.isStale && !wasStale) this.options.onRelayLost();
  }

  private recordProofs(positions: readonly RelayedPosition[]): void {
    if (!this.connection || positions.length === 0) return;
    const youngestMs = Math.min(...positions.map(({ provedAgeMs }) => provedAgeMs));
    this.connection.provedAt = advanceClockReading(this.requestedAt, -youngestMs);
    this.connection.pausedMsAtProof = this.pausedMs;
    this.checkProof();
  }

  /** Only the latest request counts, because its time bounds how old the returned position is. */
  private requestPositions(connection: RelayConnection): void {
    this.lastPositionRequest += 1;
    this.requestedAt = readClocks();
    sendMessage(connection, { kind: 'ask', question: this.lastPositionRequest });
  }

  private handleMessage(message: FeedMessage): void {
    const { onBatch, onPosition, onBlockChanges } = this.options;
    if (message.kind === 'several') message.messages.forEach((one) => this.handleMessage(one));
    else if (message.kind === 'batch') onBatch(message.batch);
    else if (message.kind === 'blocks') onBlockChanges(message.blocks);
    else if (message.kind === 'positions' && message.question === this.lastPositionRequest) {
      this.recordProofs(message.positions);
      message.positions.forEach((position) => onPosition(position, this.requestedAt));
    }
  }
}
