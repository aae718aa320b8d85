/* eslint-disable no-underscore-dangle, goldcrest/verb-names -- the names of Node's streams and sockets */
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import type { VmId } from '@goldcrestscale/core';
import { ConnectionError } from '../dispatch/connectionError.js';
import { PathError } from '../dispatch/pathError.js';
import type { UpstreamSocket } from '../dispatch/upstreamLink.js';
import { TunnelFrameReader, decodeSentBytes } from './tunnelFrames.js';
import type { TunnelFrame, TunnelFrameType } from './tunnelFrames.js';

/** What a VM replies that was asked to extend a connection to an upstream. */
export type TunnelReply = Extract<TunnelFrameType, 'open' | 'unreachable' | 'unavailable'>;

/** The VM at the other end of a connection. */
export interface TunnelPeer {
  readonly vmId: VmId;
  /** HOST:PORT of its mesh. */
  readonly address: string;
}

/** Called when a write is done. */
type WriteCallback = (error?: Error | null) => void;

/**
 * A connection to an upstream through another VM. It ends only when that VM says that the upstream has
 * ended it: the kernel closes the connections of a killed process in order as well.
 *
 * Emits `reply` with the other VM's `TunnelReply`, and `leaving` when that VM stops and the connection is
 * to be closed once it carries no exchange.
 */
export class TunnelSocket extends Duplex implements UpstreamSocket {
  /** Stays after the connection has closed, since what the other VM said of the upstream holds. */
  readonly remoteAddress: string;

  private readonly reader = new TunnelFrameReader();

  private isOpen = false;

  /** Bytes of requests that the other VM has to pass on. */
  private requestBytes = 0;

  private hasUpstreamEnded = false;

  private isReset = false;

  constructor(
    private readonly connection: Socket,
    private readonly peer: TunnelPeer,
  ) {
    super({ allowHalfOpen: false });
    this.remoteAddress = peer.address;
    connection.on('data', (chunk: Buffer) => {
      this.reader.push(chunk).forEach((frame) => this.handleFrame(frame));
    });
    connection.once('end', () => this.handleConnectionEnd());
    connection.on('error', (cause) => {
      this.destroy(new PathError(`connection to ${peer.vmId} failed: ${cause.message}`, { cause }));
    });
    connection.once('close', () => this.destroy());
  }

  get connecting(): boolean {
    return this.connection.connecting;
  }

  /** Resets the connection, so that what has not left this VM yet is discarded. */
  resetAndDestroy(): this {
    this.isReset = true;
    return this.destroy();
  }

  /** Does nothing: the other VM watches the connection to the upstream. */
  setKeepAlive(): this {
    return this;
  }

  /** Does nothing: no connection to an upstream has a timeout of its socket. */
  setTimeout(): this {
    return this;
  }

  ref(): this {
    this.connection.ref();
    return this;
  }

  unref(): this {
    this.connection.unref();
    return this;
  }

  override _read(): void {
    this.connection.resume();
  }

  override _write(chunk: Buffer, encoding: BufferEncoding, callback: WriteCallback): void {
    if (this.isOpen) this.requestBytes += chunk.length;
    this.connection.write(chunk, encoding, callback);
  }

  override _final(callback: WriteCallback): void {
    this.connection.end(callback);
  }

  override _destroy(error: Error | null, callback: WriteCallback): void {
    if (this.isReset && !this.connecting) this.connection.resetAndDestroy();
    else this.connection.destroy();
    callback(error);
  }

  /** Handles the end of the connection to the other VM, which tells nothing of the upstream. */
  protected handleConnectionEnd(): void {
    if (this.hasUpstreamEnded) return;
    this.destroy(new PathError(`${this.peer.vmId} ended the connection, the upstream did not`));
  }

  private handleFrame({ type, content }: TunnelFrame): void {
    if (this.destroyed || this.hasUpstreamEnded) return;
    if (type === 'data') {
      if (!this.push(content)) this.connection.pause();
    } else if (type === 'end') this.handleUpstreamEnd(decodeSentBytes(content));
    else if (type === 'reset') {
      this.hasUpstreamEnded = true;
      this.destroy(new ConnectionError('connection reset by the upstream'));
    } else if (type === 'leaving') this.emit('leaving');
    else {
      this.isOpen = type === 'open';
      this.emit('reply', type);
    }
  }

  private handleUpstreamEnd(sentBytes: number): void {
    this.hasUpstreamEnded = true;
    // The close discards the rest of the request, so that it looks the same as a reset in the response.
    if (sentBytes < this.requestBytes) {
      this.destroy(new ConnectionError('connection ended before the request was sent'));
    } else this.push(null);
  }
}
