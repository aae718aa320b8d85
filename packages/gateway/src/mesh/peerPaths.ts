import { randomUUID } from 'node:crypto';
import type { Socket } from 'node:net';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { EntryHeartbeat, EntryRoster, UpstreamId, VmId } from '@goldcrestscale/core';
import { ConnectionError } from '../dispatch/connectionError.js';
import { PathError } from '../dispatch/pathError.js';
import { connectSocket } from '../dispatch/upstreamLink.js';
import { encodeFeedContent } from './feedMessage.js';
import { FeedWriter } from './feedWriter.js';
import { TunnelSocket } from './tunnelSocket.js';
import type { TunnelPeer, TunnelReply } from './tunnelSocket.js';

/** Time for which a VM is not asked again after it could not help, in milliseconds. */
const PEER_PAUSE_MS = 1_000;

/** Dependencies of the paths. */
export interface PeerPathsOptions {
  readonly self: VmId;
  /** Key that authenticates this VM's messages. */
  readonly key: string;
  readonly roster: EntryRoster;
  readonly random: RandomGenerator;
  /** Called when another VM has opened a connection to an upstream for this one. */
  readonly onTunnelOpen: () => void;
}

/** A connection to another VM, which extends it to an upstream. */
export interface PeerPath {
  readonly vmId: VmId;
  readonly socket: TunnelSocket;
  /**
   * Asks for the connection to an upstream.
   *
   * @throws ConnectionError if the upstream can't be reached from there, PathError if the VM can't help
   */
  requestUpstream(upstreamId: UpstreamId): Promise<void>;
}

/** Finds other VMs through which this one can reach upstreams. */
export class PeerPaths {
  private readonly pausedUntilMs = new Map<VmId, number>();

  constructor(
    private readonly options: PeerPathsOptions,
    private readonly createSocket = (connection: Socket, peer: TunnelPeer) =>
      new TunnelSocket(connection, peer),
  ) {}

  /** Whether there is a VM to ask. */
  get hasPeer(): boolean {
    return this.listPeers().length > 0;
  }

  /** Begins to connect to one of the other VMs; undefined if none can be asked. */
  openPath(): PeerPath | undefined {
    const peers = this.listPeers();
    if (peers.length === 0) return undefined;
    const peer = peers[uniformInt(this.options.random, 0, peers.length - 1)]!;
    const connection = connectSocket(peer.meshAddress);
    const socket = this.createSocket(connection, { vmId: peer.vmId, address: peer.meshAddress });
    return {
      vmId: peer.vmId,
      socket,
      requestUpstream: (upstreamId) => this.request(socket, peer.vmId, upstreamId),
    };
  }

  private listPeers(): readonly EntryHeartbeat[] {
    const nowMs = performance.now();
    return this.options.roster
      .listServing()
      .filter(
        ({ vmId }) =>
          vmId !== this.options.self && nowMs >= (this.pausedUntilMs.get(vmId) ?? -Infinity),
      );
  }

  private request(socket: TunnelSocket, vmId: VmId, upstreamId: UpstreamId): Promise<void> {
    const { self, key, onTunnelOpen } = this.options;
    const nonce = randomUUID();
    return new Promise((resolve, reject) => {
      const fail = (reason: string): void => {
        this.pausedUntilMs.set(vmId, performance.now() + PEER_PAUSE_MS);
        reject(new PathError(`${vmId} can not help: ${reason}`));
      };
      const failWith = ({ message }: Error): void => fail(message);
      // A VM of an earlier version doesn't know the question and closes the connection.
      socket.once('error', failWith);
      socket.once('close', () => reject(new PathError('the connection is closed')));
      socket.once('reply', (reply: TunnelReply) => {
        socket.off('error', failWith);
        if (reply === 'open') {
          onTunnelOpen();
          resolve();
        } else if (reply === 'unreachable') {
          reject(new ConnectionError(`${vmId} can not reach the upstream`));
        } else fail('unavailable');
      });
      const content = encodeFeedContent({ kind: 'framedTunnel', vmId: self, nonce, upstreamId });
      socket.write(new FeedWriter({ key, nonce }).encode(content));
    });
  }
}
