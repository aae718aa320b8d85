import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { VmId } from '@goldcrestscale/core';
import { splitAddress } from '../socketAddress.js';
import { ConnectionError } from './connectionError.js';

/** Idle time after which the kernel sends TCP keep-alive probes. */
const KEEP_ALIVE_PROBE_MS = 1_000;

/** Opens a TCP connection whose loss the kernel notices. */
export const connectSocket = (address: string): Socket =>
  connect({
    ...splitAddress(address),
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
  });

/** Resolves when a socket is connected. @throws the error that prevents it */
export const waitForConnect = (socket: Socket): Promise<void> =>
  new Promise((resolve, reject) => {
    socket.once('connect', resolve);
    socket.once('error', reject);
    socket.once('close', () => reject(new ConnectionError('the connection is closed')));
  });

/** A way to an upstream, for one connection. */
export abstract class UpstreamLink {
  /** The VM through which it leads; undefined if it leads to the upstream directly. */
  abstract readonly via: VmId | undefined;

  /** Begins to connect. */
  abstract connect(): Socket;

  /** Resolves once the bytes of the socket are those of the upstream. @throws the error that prevents it */
  abstract waitUntilOpen(socket: Socket): Promise<void>;

  /** Called with each read of the upstream's bytes. */
  abstract recordRead(): void;

  /** Called when a request is written; the returned function ends the wait for its response. */
  abstract beginWait(): () => void;
}
