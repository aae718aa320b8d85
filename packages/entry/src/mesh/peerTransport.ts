import type { VmId } from '@goldcrestscale/core';
import type { PeerIdentity } from './authentication.js';
import { MeshError } from './meshError.js';

/** Context of a received message. */
export interface MessageContext {
  /** Sender, as authenticated by the handshake. */
  readonly from: PeerIdentity;
  /** Aborts when the sender cancels the request, its timeout expires, or the connection is lost. */
  readonly signal: AbortSignal;
}

/** Handler of one message type; its return value is the reply to a request. */
export type MessageHandler = (payload: unknown, context: MessageContext) => unknown;

/** Address of a peer. */
export interface PeerAddress {
  readonly vmId: VmId;
  /** Host and port. */
  readonly address: string;
  /** Whether the connection is kept open permanently; otherwise it is opened on demand. */
  readonly keepOpen: boolean;
}

/** Transport for requests and one-way messages between this VM and its peers. */
export abstract class PeerTransport {
  /** Identity of this daemon process. */
  abstract readonly self: PeerIdentity;

  private readonly handlers = new Map<string, MessageHandler>();

  /** Registers the handler of a message type; a type has one handler. */
  register(type: string, handler: MessageHandler): void {
    if (this.handlers.has(type)) throw new Error(`message type "${type}" already has a handler`);
    this.handlers.set(type, handler);
  }

  /**
   * Sends a request to a peer and waits for its reply.
   *
   * @throws MeshError
   */
  abstract request(
    vmId: VmId,
    type: string,
    payload: unknown,
    signal: AbortSignal,
    timeoutMs?: number,
  ): Promise<unknown>;

  /** Sends a one-way message; false if it was definitely not sent. */
  abstract send(vmId: VmId, type: string, payload: unknown): boolean;

  /** Replaces the set of peers. Connections to VMs that are no longer in it are closed. */
  abstract setPeers(peers: readonly PeerAddress[]): void;

  /** Lists the peers with an authenticated connection. */
  abstract listConnectedPeers(): readonly PeerIdentity[];

  /** Calls the handler of a received message. */
  protected async handle(
    type: string,
    payload: unknown,
    context: MessageContext,
  ): Promise<unknown> {
    const handler = this.handlers.get(type);
    if (!handler) throw new MeshError(`no handler for "${type}"`, 'unknown_type');
    try {
      return await handler(payload, context);
    } catch (error) {
      // A MeshError of a nested request says nothing about whether this handler had side effects.
      if (error instanceof MeshError && error.failure !== 'malformed') {
        throw new MeshError(error.message, 'handler_failed');
      }
      throw error;
    }
  }
}
