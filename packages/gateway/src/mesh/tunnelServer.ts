import type { Socket } from 'node:net';
import type { UpstreamId, UpstreamReach, UpstreamRegistry } from '@goldcrestscale/core';
import type { SocketShare } from '@goldcrestscale/runtime';
import { UPSTREAM_CONNECT_TIMEOUT_MS } from '../constants.js';
import { KEEP_ALIVE_PROBE_MS, connectSocket } from '../dispatch/upstreamLink.js';
import type { GatewayMetrics } from '../metrics.js';
import { encodeSentBytes, encodeTunnelHead } from './tunnelFrames.js';
import type { TunnelFrameType } from './tunnelFrames.js';

/** Maximum number of connections that this VM extends to upstreams for others. */
const MAX_TUNNELS = 512;

/** Dependencies of the server. */
export interface TunnelServerOptions {
  readonly registry: UpstreamRegistry;
  readonly reach: Pick<UpstreamReach, 'isCutOff' | 'recordContact'>;
  readonly share: SocketShare;
  /** Whether this VM shuts down. */
  readonly isLeaving: () => boolean;
  readonly metrics: Pick<GatewayMetrics, 'countTunnel' | 'setTunnels'>;
}

/** Passes the requests on: a reset as a reset, an end as an end. */
const relayRequests = (socket: Socket, upstream: Socket): void => {
  socket.pipe(upstream);
  socket.on('error', () => {
    if (upstream.connecting) upstream.destroy();
    else upstream.resetAndDestroy();
  });
  // What has been read of it is still written.
  socket.once('close', () => upstream.destroySoon());
};

const NO_BYTES: Buffer = Buffer.alloc(0);

/** @returns whether there is room for more */
const sendFrame = (socket: Socket, type: TunnelFrameType, content = NO_BYTES): boolean => {
  socket.cork();
  let hasRoom = socket.write(encodeTunnelHead(type, content.length));
  if (content.length > 0) hasRoom = socket.write(content);
  socket.uncork();
  return hasRoom;
};

/** Passes the responses on, and says how the upstream ended its connection. */
const relayResponses = (upstream: Socket, socket: Socket): void => {
  upstream.on('data', (content: Buffer) => {
    if (sendFrame(socket, 'data', content)) return;
    upstream.pause();
    socket.once('drain', () => upstream.resume());
  });
  upstream.once('end', () => {
    // If data and a reset arrive together, Node emits a clean end, but the socket has no peer.
    if (upstream.remoteAddress === undefined) sendFrame(socket, 'reset');
    else sendFrame(socket, 'end', encodeSentBytes(upstream.bytesWritten - upstream.writableLength));
  });
  upstream.on('error', () => sendFrame(socket, 'reset'));
  upstream.once('close', () => {
    socket.end();
    // What still comes has nowhere to go, but hides the other end's close until it is read.
    socket.resume();
  });
};

/**
 * Extends connections of VMs that are cut off from the upstreams to these. The VM that asked decides on
 * requests and answers for them; it learns of an upstream's end only in a frame that says so.
 */
export class TunnelServer {
  private readonly open = new Set<Socket>();

  private isRetiring = false;

  constructor(private readonly options: TunnelServerOptions) {}

  /** Takes over a connection, and extends it to an upstream or refuses that. */
  accept(socket: Socket, upstreamId: UpstreamId): void {
    const { registry, metrics } = this.options;
    const upstream = registry.find(upstreamId);
    if (!upstream) this.refuse(socket, 'unreachable');
    // Never onward through a third VM.
    else if (!this.tryTakeTunnel()) this.refuse(socket, 'unavailable');
    else {
      metrics.countTunnel('open');
      this.connectUpstream(socket, upstream.registered.address);
    }
  }

  /** Counts the connections that are being extended, or have bytes to send. */
  countOpen(): number {
    return this.open.size;
  }

  /**
   * Has the other VMs close their connections, each once it carries no exchange. Only they can tell: a
   * response may pause for seconds, and the next request may be under way.
   */
  leave(): void {
    this.isRetiring = true;
    this.open.forEach((socket) => sendFrame(socket, 'leaving'));
  }

  /** Closes all connections. */
  close(): void {
    this.open.forEach((socket) => socket.destroy());
  }

  private tryTakeTunnel(): boolean {
    const { reach, isLeaving, share } = this.options;
    return !reach.isCutOff && !isLeaving() && this.open.size < MAX_TUNNELS && share.tryOpen();
  }

  private refuse(socket: Socket, reply: 'unavailable' | 'unreachable'): void {
    this.options.metrics.countTunnel(reply);
    socket.on('error', () => socket.destroy());
    socket.end(encodeTunnelHead(reply));
  }

  private connectUpstream(socket: Socket, address: string): void {
    const { reach, share, metrics } = this.options;
    const upstream = connectSocket(address);
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS);
    this.open.add(socket);
    metrics.setTunnels(this.open.size);
    const timer = setTimeout(() => upstream.destroy(), UPSTREAM_CONNECT_TIMEOUT_MS);
    let isConnected = false;
    upstream.once('connect', () => {
      clearTimeout(timer);
      isConnected = true;
      sendFrame(socket, 'open');
      relayRequests(socket, upstream);
      relayResponses(upstream, socket);
      upstream.on('data', () => reach.recordContact());
      if (this.isRetiring) sendFrame(socket, 'leaving');
    });
    upstream.on('error', () => undefined);
    upstream.once('close', () => {
      clearTimeout(timer);
      share.release();
      if (!isConnected) this.refuse(socket, 'unreachable');
    });
    socket.on('error', () => undefined);
    socket.once('close', () => {
      this.open.delete(socket);
      metrics.setTunnels(this.open.size);
      if (!isConnected) upstream.destroy();
    });
  }
}
