import type { Socket } from 'node:net';
import type { UpstreamReach } from '@goldcrestscale/core';
import { findConnectFailure } from './connectionError.js';
import { UpstreamLink, connectSocket, waitForConnect } from './upstreamLink.js';
import type { UpstreamSocket } from './upstreamLink.js';

/** Connects to the upstream's address. */
export class DirectLink extends UpstreamLink {
  override readonly via = undefined;

  /** @param reach undefined if nobody asks whether upstreams can be reached */
  constructor(
    private readonly address: string,
    private readonly reach?: UpstreamReach,
  ) {
    super();
  }

  override connect(): Socket {
    const socket = connectSocket(this.address);
    socket.once('error', (error) => {
      const isUnreachable = findConnectFailure(error) === 'unreachable';
      // An established connection that is reset tells nothing about the others.
      if (isUnreachable && socket.bytesWritten === 0) this.reach?.recordFailure(this.address);
    });
    return socket;
  }

  override async waitUntilOpen(socket: UpstreamSocket): Promise<void> {
    await waitForConnect(socket);
    this.reach?.recordConnect();
  }

  override recordRead(): void {
    this.reach?.recordContact();
  }

  override beginWait(): () => void {
    return this.reach?.beginWait(this.address) ?? (() => undefined);
  }
}
