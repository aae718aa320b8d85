import { WebSocket } from 'ws';
import { isSocketAddress } from '@goldcrestscale/core';
import type { VmId } from '@goldcrestscale/core';
import { computeReconnectDelayMs } from './backoff.js';
import { HANDSHAKE_TIMEOUT_MS, MESSAGE_LIMITS } from './constants.js';
import type { PeerAddress } from './peerTransport.js';

/** Options of a peer connector. */
export interface PeerConnectorOptions {
  /** Runs the handshake on a new socket; resolves to whether the peer was authenticated. */
  readonly authenticate: (socket: WebSocket, vmId: VmId) => Promise<boolean>;
  readonly random: () => number;
}

/** Opens the connection to one peer, with backoff after failed attempts. */
export class PeerConnector {
  private attempt: Promise<boolean> | undefined;

  private consecutiveFailures = 0;

  private retryTimer: NodeJS.Timeout | undefined;

  private retryAtMs = 0;

  private isClosed = false;

  private socket: WebSocket | undefined;

  constructor(
    public peer: PeerAddress,
    private readonly options: PeerConnectorOptions,
  ) {}

  /**
   * Connects, or joins the attempt in progress; resolves to whether the peer was authenticated.
   * Resolves to false without an attempt while the backoff of the last failure lasts.
   */
  connect(): Promise<boolean> {
    if (this.attempt) return this.attempt;
    if (this.isClosed || performance.now() < this.retryAtMs) return Promise.resolve(false);
    this.attempt = this.openConnection().then((connected) => {
      this.attempt = undefined;
      this.recordOutcome(connected);
      return connected;
    });
    return this.attempt;
  }

  /** Schedules a reconnect after a lost connection if the peer is to be kept connected. */
  scheduleReconnect(): void {
    if (this.isClosed || !this.peer.keepOpen || this.retryTimer) return;
    const delayMs = Math.max(
      this.retryAtMs - performance.now(),
      computeReconnectDelayMs(1, this.options.random()),
    );
    this.retryTimer = setTimeout(() => {
      this.retryTimer = undefined;
      this.connect().catch(() => undefined);
    }, delayMs);
    this.retryTimer.unref();
  }

  /** Cancels the current attempt and prevents further ones. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.retryTimer);
    this.socket?.terminate();
  }

  private recordOutcome(connected: boolean): void {
    if (connected) {
      this.consecutiveFailures = 0;
      this.retryAtMs = 0;
      return;
    }
    this.consecutiveFailures += 1;
    const delayMs = computeReconnectDelayMs(this.consecutiveFailures, this.options.random());
    this.retryAtMs = performance.now() + delayMs;
    this.scheduleReconnect();
  }

  private openConnection(): Promise<boolean> {
    const { address, vmId } = this.peer;
    return new Promise((resolve) => {
      if (!isSocketAddress(address)) {
        // The constructor would throw, and the rejected attempt would be returned for ever.
        resolve(false);
        return;
      }
      const socket = new WebSocket(`ws://${address}/`, {
        ...MESSAGE_LIMITS,
        handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      });
      this.socket = socket;
      // The attempt is settled by the close event that follows.
      socket.on('error', () => undefined);
      socket.once('close', () => resolve(false));
      this.options.authenticate(socket, vmId).then(resolve, () => resolve(false));
    });
  }
}
