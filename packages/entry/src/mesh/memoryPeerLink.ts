import type { VmId } from '@goldcrestscale/core';
import type { PeerIdentity } from './authentication.js';
import { REQUEST_TIMEOUT_MS } from './constants.js';
import { decodeValue, encodeValue } from './frames.js';
import { MeshError } from './meshError.js';
import { PeerLink } from './peerLink.js';
import type { MessageContext, PeerAddress } from './peerLink.js';

/** What a link needs of its in-process network. */
export interface MemoryPaths {
  /** Finds the link of a VM that another one reaches at this moment. */
  findReachable(from: VmId, to: VmId): MemoryPeerLink | undefined;
  /** Lists the VMs that one reaches at this moment. */
  listReachable(from: VmId): readonly PeerIdentity[];
  /** Waits until a VM is not paused. */
  waitWhilePaused(vmId: VmId): Promise<void>;
  /** Waits as long as one message takes. */
  sleep(): Promise<void>;
}

const cloneAsMessage = (value: unknown): unknown => decodeValue(encodeValue(value));

const waitForever = (): Promise<never> =>
  new Promise(() => {
    // A lost message never settles; the asking side's timeout does.
  });

/** Link of one VM to an in-process network. */
export class MemoryPeerLink extends PeerLink {
  /** Address book as it was last set. */
  peers: readonly PeerAddress[] = [];

  constructor(
    override readonly self: PeerIdentity,
    private readonly network: MemoryPaths,
  ) {
    super();
  }

  override async request(
    vmId: VmId,
    type: string,
    payload: unknown,
    signal: AbortSignal,
    timeoutMs = REQUEST_TIMEOUT_MS,
  ): Promise<unknown> {
    if (!this.network.findReachable(this.self.vmId, vmId)) {
      throw new MeshError(`no connection to ${vmId}`, 'unreachable');
    }
    const ended = new AbortController();
    const transfer = this.transfer(vmId, type, cloneAsMessage(payload), ended.signal);
    const interrupted = new Promise<never>((_resolve, reject) => {
      const timer = setTimeout(
        () => reject(new MeshError('no reply in time', 'timeout')),
        timeoutMs,
      );
      ended.signal.addEventListener('abort', () => clearTimeout(timer));
      signal.addEventListener('abort', () => reject(new MeshError('aborted', 'aborted')), {
        signal: ended.signal,
      });
    });
    return Promise.race([transfer, interrupted]).finally(() => ended.abort());
  }

  override send(vmId: VmId, type: string, payload: unknown): boolean {
    if (!this.network.findReachable(this.self.vmId, vmId)) return false;
    const never = new AbortController().signal;
    this.transfer(vmId, type, cloneAsMessage(payload), never).catch(() => undefined);
    return true;
  }

  override setPeers(peers: readonly PeerAddress[]): void {
    this.peers = peers;
  }

  override listConnected(): readonly PeerIdentity[] {
    return this.network.listReachable(this.self.vmId);
  }

  /** Runs the handler of a message that has arrived from a peer. */
  receive(type: string, payload: unknown, context: MessageContext): Promise<unknown> {
    return this.handle(type, payload, context);
  }

  private async transfer(
    vmId: VmId,
    type: string,
    payload: unknown,
    signal: AbortSignal,
  ): Promise<unknown> {
    await this.sleepOnWay(vmId);
    const peer = this.network.findReachable(this.self.vmId, vmId);
    if (!peer) return waitForever();
    const context: MessageContext = { from: this.self, signal };
    const reply = cloneAsMessage(await peer.receive(type, payload, context));
    await this.sleepOnWay(vmId);
    return this.network.findReachable(this.self.vmId, vmId) ? reply : waitForever();
  }

  private async sleepOnWay(vmId: VmId): Promise<void> {
    await this.network.waitWhilePaused(this.self.vmId);
    await this.network.sleep();
    await this.network.waitWhilePaused(vmId);
    await this.network.waitWhilePaused(this.self.vmId);
  }
}
