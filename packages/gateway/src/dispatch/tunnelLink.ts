import { Socket } from 'node:net';
import type { UpstreamId, VmId } from '@goldcrestscale/core';
import type { PeerPath, PeerPaths } from '../mesh/peerPaths.js';
import { PathError } from './pathError.js';
import { UpstreamLink } from './upstreamLink.js';
import type { UpstreamSocket } from './upstreamLink.js';

/** Connects to the upstream through another VM, which passes on its bytes and says how it ended. */
export class TunnelLink extends UpstreamLink {
  private path: PeerPath | undefined;

  constructor(
    private readonly upstreamId: UpstreamId,
    private readonly paths: PeerPaths,
  ) {
    super();
  }

  override get via(): VmId | undefined {
    return this.path?.vmId;
  }

  override connect(onRetire: () => void): UpstreamSocket {
    this.path = this.paths.openPath();
    if (this.path) {
      this.path.socket.once('leaving', onRetire);
      return this.path.socket;
    }
    const socket = new Socket();
    process.nextTick(() => socket.destroy(new PathError('no other VM can be asked')));
    return socket;
  }

  override waitUntilOpen(socket: UpstreamSocket): Promise<void> {
    if (this.path) return this.path.requestUpstream(this.upstreamId);
    return new Promise((_resolve, reject) => {
      socket.once('error', reject);
    });
  }

  override recordRead(): void {
    // Bytes that came through another VM don't tell whether this one reaches the upstream.
  }

  override beginWait(): () => void {
    return () => undefined;
  }
}
