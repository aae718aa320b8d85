import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { VmId } from '@goldcrestscale/core';
import { splitAddress } from '../socketAddress.js';
import { ConnectionError } from './connectionError.js';

/** Idle time after which the kernel sends TCP keep-alive probes, in milliseconds. */
export const KEEP_ALIVE_PROBE_MS = 1_000;

/** Opens a TCP connection whose loss the kernel notices. */
export const connectSocket = (address: string): Socket =>
  connect({
    ...splitAddress(address),
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
  });

/** Resolves when a socket is connected. @throws the error that prevents it */
export const waitForConnect = (socket: UpstreamSocket): Promise<void> =>
  new Promise((resolve, reject) => {
    socket.once('connect', resolve);
    socket.once('error', reject);
    socket.once('close', () => reject(new ConnectionError('the connection is closed')));
  });

/** What a connection to an upstream uses of its socket. */
export interface UpstreamSocket extends Duplex {
  readonly connecting: boolean;
  /** Undefined once the connection has no peer. */
  readonly remoteAddress?: string | undefined;
  resetAndDestroy(): this;
}

/** A way to an upstream, for one connection. */
export abstract class UpstreamLink {
  /** The VM through which it leads; undefined if it leads to the upstream directly. */
  abstract readonly via: VmId | undefined;

  /**
   * Begins to connect.
   *
   * @param onRetire called when the connection is to carry no further exchange
   */
  abstract connect(onRetire: () => void): UpstreamSocket;

  /** Resolves once the bytes of the socket are those of the upstream. @throws the error that prevents it */
  abstract waitUntilOpen(socket: UpstreamSocket): Promise<void>;

  /** Called with each read of the upstream's bytes. */
  abstract recordRead(): void;

  /** Called when a request is written; the returned function ends the wait for its response. */
  abstract beginWait(): () => void;
}
