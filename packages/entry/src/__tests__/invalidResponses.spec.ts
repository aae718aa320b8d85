import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { expect, onTestFinished, test } from 'vitest';
import { BOOT_ID } from './fakeUpstream.js';
import { callService, startHarness } from './entryHarness.js';

const HEAD_END = '\r\n\r\n';

/** A refused response must end the request well before its deadline. */
const MAX_ELAPSED_MS = 5_000;

const buildResponse = (statusLine: string, body: string, id = ''): string =>
  [statusLine, `x-attempt-id: ${id}`, `content-length: ${body.length}`, '', body].join('\r\n');

/** Starts a plain service that reports its load soundly and answers calls with a status line. */
const startOddService = async (statusLine: string): Promise<string> => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      const head = chunk.toString('latin1');
      if (!head.includes(HEAD_END)) return;
      const id = /x-attempt-id: (\S*)/i.exec(head)?.[1] ?? '';
      const isReport = head.startsWith('GET /load');
      const report = buildResponse('HTTP/1.1 200 OK', JSON.stringify({ bootId: BOOT_ID }));
      socket.write(isReport ? report : buildResponse(statusLine, '{}', id));
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

// Guards against a status that HTTP does not have: it is an answer to nobody and must not end the VM.
test.each(['000', '042', '099', '100', '101', '199', '600', '999'])(
  'a response with the status %s ends its request with a typed error',
  async (status) => {
    const harness = await startHarness({
      upstreams: [await startOddService(`HTTP/1.1 ${status} Odd`)],
    });
    onTestFinished(() => harness.close());
    const startedAtMs = performance.now();
    const response = await callService(harness, 'POST');
    expect(response.errorCode).toBeDefined();
    expect(response.status).toBeGreaterThanOrEqual(500);
    expect(response.status).toBeLessThan(600);
    expect(performance.now() - startedAtMs).toBeLessThan(MAX_ELAPSED_MS);
  },
  8_000,
);
