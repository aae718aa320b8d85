import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { onTestFinished } from 'vitest';
import { BOOT_ID } from './fakeUpstream.js';

const HEAD_END = '\r\n\r\n';

/** A call that a raw service has received. */
export interface RawCall {
  readonly id: string;
  readonly socket: Socket;
}

/** Builds a response whose status line is sent as it is. */
export const buildRawResponse = (
  statusLine: string,
  headers: readonly string[],
  body: string,
): string => [statusLine, ...headers, `content-length: ${body.length}`, '', body].join('\r\n');

/**
 * Starts a plain service that reports its load, and answers calls with any bytes.
 *
 * @returns its address
 */
export const startRawService = async (onCall: (call: RawCall) => void): Promise<string> => {
  const sockets = new Set<Socket>();
  const report = buildRawResponse('HTTP/1.1 200 OK', [], JSON.stringify({ bootId: BOOT_ID }));
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      const head = chunk.toString('latin1');
      if (!head.includes(HEAD_END)) return;
      if (head.startsWith('GET /load')) socket.write(report);
      else onCall({ id: /x-attempt-id: (\S*)/i.exec(head)?.[1] ?? '', socket });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  onTestFinished(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};
