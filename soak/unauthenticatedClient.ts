import { createSocket } from 'node:dgram';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { sleep, waitForAbort } from '@goldcrestscale/core';
import { streamEndlessly } from '@goldcrestscale/adapter/standin/index.js';
import type { EndlessBytes } from '@goldcrestscale/adapter/standin/index.js';

const LOOPBACK = '127.0.0.1';

/** How long a client with a single message stays. */
const NOISE_MS = 300;

/** Connections that are opened in one turn, so that the soak itself doesn't stand still. */
const BATCH = 50;

const BATCH_INTERVAL_MS = 10;

const openConnection = (port: number): Socket => {
  const socket = connect(port, LOOPBACK);
  // The VM may be away, or refuse.
  socket.on('error', () => socket.destroy());
  // An answer to such a client is of no interest, but must not wait in the VM.
  socket.resume();
  return socket;
};

/** Sends the bytes of an unauthenticated client to a port and drops the connection. */
export const sendNoise = async (
  port: number,
  isDatagram: boolean,
  bytes: string,
): Promise<void> => {
  if (isDatagram) {
    const socket = createSocket('udp4');
    socket.send(Buffer.from(bytes, 'latin1'), port, LOOPBACK, () => socket.close());
    return;
  }
  const socket = openConnection(port);
  socket.write(bytes, 'latin1');
  await sleep(NOISE_MS);
  socket.resetAndDestroy();
};

/** Opens connections that send without end, or stay idle, and drops them when the signal aborts. */
export const sendUnauthenticated = async (
  port: number,
  connections: number,
  bytes: EndlessBytes,
  signal: AbortSignal,
): Promise<void> => {
  const sockets: Socket[] = [];
  while (sockets.length < connections && !signal.aborted) {
    const count = Math.min(BATCH, connections - sockets.length);
    const batch = Array.from({ length: count }, () => openConnection(port));
    batch.forEach((socket) => streamEndlessly(socket, bytes));
    sockets.push(...batch);
    await sleep(BATCH_INTERVAL_MS, signal);
  }
  await waitForAbort(signal);
  sockets.forEach((socket) => socket.resetAndDestroy());
};
