import { WebSocket } from 'ws';
import type { VmId } from '@goldcrestscale/core';
import { computeReconnectDelay } from './backoff.js';
import { GREETING_TIMEOUT_MS, MAX_MESSAGE_BYTES } from './constants.js';
import type { PeerAddress } from './peerLink.js';

/** What a connector needs of the mesh. */
export interface ConnectorOptions {
  /** Greets the peer on an open socket; resolves to whether it was authenticated. */
  readonly authenticate: (socket: WebSocket, vmId: VmId) => Promise<boolean>;
  readonly random: () => number;
}

/** Opens the connection to one peer and waits between failed attempts. */
export class PeerConnector {
  private attempt: Promise<boolean> | undefined;

  private failures = 0;

  private retryTimer: NodeJS.Timeout | undefined;

  private retryAtMs = 0;

  private isClosed = false;

  private socket: WebSocket | undefined;

  constructor(
    public peer: PeerAddress,
    private readonly options: ConnectorOptions,
  ) {}

  /** Connects unless an attempt is under way or has just failed; resolves to the outcome. */
  connect(): Promise<boolean> {
    if (this.attempt) return this.attempt;
    if (this.isClosed || performance.now() < this.retryAtMs) return Promise.resolve(false);
    this.attempt = this.open().then((connected) => {
      this.attempt = undefined;
      this.noteOutcome(connected);
      return connected;
    });
    return this.attempt;
  }

  /** Connects again after a lost connection, where the peer is to be kept connected. */
  resume(): void {
    if (this.isClosed || !this.peer.keepOpen || this.retryTimer) return;
    const delayMs = Math.max(
      this.retryAtMs - performance.now(),
      computeReconnectDelay(1, this.options.random()),
    );
    this.retryTimer = setTimeout(() => {
      this.retryTimer = undefined;
      this.connect().catch(() => undefined);
    }, delayMs);
    this.retryTimer.unref();
  }

  /** Stops connecting for good. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.retryTimer);
    this.socket?.terminate();
  }

  private noteOutcome(connected: boolean): void {
    if (connected) {
      this.failures = 0;
      this.retryAtMs = 0;
      return;
    }
    this.failures += 1;
    const delayMs = computeReconnectDelay(this.failures, this.options.random());
    this.retryAtMs = performance.now() + delayMs;
    this.resume();
  }

  private open(): Promise<boolean> {
    const { address, vmId } = this.peer;
    return new Promise((resolve) => {
      const socket = new WebSocket(`ws://${address}/`, {
        perMessageDeflate: false,
        maxPayload: MAX_MESSAGE_BYTES,
        handshakeTimeout: GREETING_TIMEOUT_MS,
      });
      this.socket = socket;
      // The close event that follows settles the attempt.
      socket.on('error', () => undefined);
      socket.once('close', () => resolve(false));
      this.options.authenticate(socket, vmId).then(resolve, () => resolve(false));
    });
  }
}
