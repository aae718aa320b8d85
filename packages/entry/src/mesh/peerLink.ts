import type { VmId } from '@goldcrestscale/core';
import type { PeerIdentity } from './authentication.js';
import { MeshError } from './meshError.js';

/** Circumstances of a received message. */
export interface MessageContext {
  /** Who sent it, as proved at the greeting. */
  readonly from: PeerIdentity;
  /** Aborts when the asking side has given up or is gone. */
  readonly signal: AbortSignal;
}

/** Handles one message type; the value becomes the reply to a request. */
export type MessageHandler = (payload: unknown, context: MessageContext) => unknown;

/** Where a peer listens. */
export interface PeerAddress {
  readonly vmId: VmId;
  /** Host and port. */
  readonly address: string;
  /** Whether the connection is kept open; otherwise it is opened on demand. */
  readonly keepOpen: boolean;
}

/** Messages between this VM and its peers. */
export abstract class PeerLink {
  /** This VM and this run of its daemon. */
  abstract readonly self: PeerIdentity;

  private readonly handlers = new Map<string, MessageHandler>();

  /** Registers the only handler of a message type. */
  register(type: string, handler: MessageHandler): void {
    if (this.handlers.has(type)) throw new Error(`message type "${type}" has a handler already`);
    this.handlers.set(type, handler);
  }

  /**
   * Asks a peer and waits for its reply.
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

  /** Sends a one-way message; false where it was surely not sent. */
  abstract send(vmId: VmId, type: string, payload: unknown): boolean;

  /** Replaces the address book. Connections to VMs that are not in it are closed. */
  abstract setPeers(peers: readonly PeerAddress[]): void;

  /** Lists the peers with an authenticated connection. */
  abstract listConnected(): readonly PeerIdentity[];

  /** Runs the handler of a received message. */
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
      // A failure of the handler's own messages says nothing of whether it has acted.
      if (error instanceof MeshError && error.failure !== 'malformed') {
        throw new MeshError(error.message, 'handler_failed');
      }
      throw error;
    }
  }
}
