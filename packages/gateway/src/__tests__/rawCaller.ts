import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { onTestFinished, vi } from 'vitest';

/** A caller that writes the bytes of its requests itself. */
export interface RawCaller {
  readonly socket: Socket;
  /** Everything that it has received. */
  readonly read: () => string;
  /** Waits until it has received a text. */
  readonly waitFor: (text: string) => Promise<void>;
}

/** Time for which a test waits for a response. */
const RECEIVE_TIMEOUT_MS = 4_000;

/** Connects a caller; closes its connection when the test ends. */
export const connectRawCaller = (port: number): RawCaller => {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString('latin1');
  });
  // A connection that is reset shows in what was received.
  socket.on('error', () => undefined);
  onTestFinished(() => {
    socket.destroy();
  });
  return {
    socket,
    read: () => received,
    waitFor: (text) =>
      vi
        .waitUntil(() => received.includes(text), { timeout: RECEIVE_TIMEOUT_MS, interval: 5 })
        .then(() => undefined),
  };
};

/** Builds the head of a request to the route of the test gateway. */
export const buildRequestHead = (id: string, framing: string): string =>
  `POST /a/1 HTTP/1.1\r\nhost: site.example\r\nx-id: ${id}\r\n${framing}\r\n\r\n`;
