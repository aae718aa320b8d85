import type { VmId } from '@goldcrestscale/core';
import type { PeerIdentity } from './authentication.js';
import { DEFAULT_REQUEST_TIMEOUT_MS } from './constants.js';
import { decodeValue, encodeValue } from './frames.js';
import { MeshError } from './meshError.js';
import { PeerTransport } from './peerTransport.js';
import type { MessageContext, PeerAddress } from './peerTransport.js';

/** Part of the in-process network that a transport uses. */
export interface MemoryRoutes {
  /** Finds the transport of `to` if `from` can reach it now. */
  findReachable(from: VmId, to: VmId): MemoryPeerTransport | undefined;
  /** Lists the VMs that `from` can reach now. */
  listReachable(from: VmId): readonly PeerIdentity[];
  /** Waits until the VM is not paused. */
  waitWhilePaused(vmId: VmId): Promise<void>;
  /** Waits for the one-way delivery delay. */
  waitForDelivery(): Promise<void>;
}

const cloneThroughCodec = (value: unknown): unknown => decodeValue(encodeValue(value));

const waitForever = (): Promise<never> =>
  new Promise(() => {
    // The request is settled by the caller's timeout instead.
  });

/** Peer transport of one VM over an in-process network. */
export class MemoryPeerTransport extends PeerTransport {
  /** Peers passed to the last `setPeers`. */
  peers: readonly PeerAddress[] = [];

  constructor(
    override readonly self: PeerIdentity,
    private readonly network: MemoryRoutes,
  ) {
    super();
  }

  override async request(
    vmId: VmId,
    type: string,
    payload: unknown,
    signal: AbortSignal,
    timeoutMs = DEFAULT_REQUEST_TIMEOUT_MS,
  ): Promise<unknown> {
    if (!this.network.findReachable(this.self.vmId, vmId)) {
      throw new MeshError(`no connection to ${vmId}`, 'unreachable');
    }
    const settled = new AbortController();
    const delivery = this.deliver(vmId, type, cloneThroughCodec(payload), settled.signal);
    const timeoutOrAbort = new Promise<never>((_resolve, reject) => {
      const timer = setTimeout(
        () => reject(new MeshError('no reply within the timeout', 'timeout')),
        timeoutMs,
      );
      settled.signal.addEventListener('abort', () => clearTimeout(timer));
      signal.addEventListener('abort', () => reject(new MeshError('aborted', 'aborted')), {
        signal: settled.signal,
      });
    });
    return Promise.race([delivery, timeoutOrAbort]).finally(() => settled.abort());
  }

  override send(vmId: VmId, type: string, payload: unknown): boolean {
    if (!this.network.findReachable(this.self.vmId, vmId)) return false;
    const neverAborted = new AbortController().signal;
    this.deliver(vmId, type, cloneThroughCodec(payload), neverAborted).catch(() => undefined);
    return true;
  }

  override setPeers(peers: readonly PeerAddress[]): void {
    this.peers = peers;
  }

  override listConnectedPeers(): readonly PeerIdentity[] {
    return this.network.listReachable(this.self.vmId);
  }

  /** Handles a message delivered from a peer. */
  receive(type: string, payload: unknown, context: MessageContext): Promise<unknown> {
    return this.handle(type, payload, context);
  }

  private async deliver(
    vmId: VmId,
    type: string,
    payload: unknown,
    signal: AbortSignal,
  ): Promise<unknown> {
    await this.waitForDelivery(vmId);
    const peer = this.network.findReachable(this.self.vmId, vmId);
    if (!peer) return waitForever();
    const context: MessageContext = { from: this.self, signal };
    const reply = cloneThroughCodec(await peer.receive(type, payload, context));
    await this.waitForDelivery(vmId);
    return this.network.findReachable(this.self.vmId, vmId) ? reply : waitForever();
  }

  private async waitForDelivery(vmId: VmId): Promise<void> {
    await this.network.waitWhilePaused(this.self.vmId);
    await this.network.waitForDelivery();
    await this.network.waitWhilePaused(vmId);
    await this.network.waitWhilePaused(this.self.vmId);
  }
}
