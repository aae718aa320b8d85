import { createServer, request as openRequest } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import fc from 'fast-check';
import { expect, onTestFinished, test } from 'vitest';
import { CallerResponse } from '../callerResponse.js';

const startServer = async (
  respond: (response: CallerResponse, path: string) => void,
): Promise<number> => {
  const server = createServer((request, response) =>
    respond(new CallerResponse(response, () => false), request.url ?? ''),
  );
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  onTestFinished(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
};

const streamChunks = (response: CallerResponse, chunks: readonly Uint8Array[]): void => {
  response.start({ status: 200, headers: [], contentLength: undefined });
  chunks.forEach((chunk) => response.write(chunk));
  response.finish();
};

const readResponse = (port: number): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const request = openRequest({ port, host: '127.0.0.1', agent: false }, (response) => {
      const received: Buffer[] = [];
      response.on('data', (chunk: Buffer) => received.push(chunk));
      response.on('end', () => resolve(Buffer.concat(received)));
    });
    request.on('error', reject);
    request.end();
  });

test('the chunks of a stream arrive without loss', async () => {
  let chunks: readonly Uint8Array[] = [];
  const port = await startServer((response) => streamChunks(response, chunks));
  const anyChunks = fc.array(fc.uint8Array({ maxLength: 300 }), { maxLength: 8 });
  await fc.assert(
    fc.asyncProperty(anyChunks, async (next) => {
      chunks = next;
      expect(await readResponse(port)).toEqual(Buffer.concat(next));
    }),
    { numRuns: 40 },
  );
});

test('pipelined streams arrive in the order of their requests', async () => {
  const port = await startServer((response, path) => {
    const delayMs = path === '/first' ? 40 : 0;
    setTimeout(() => streamChunks(response, [Buffer.from(`body of ${path}`)]), delayMs);
  });
  const socket = connect(port, '127.0.0.1');
  onTestFinished(() => {
    socket.destroy();
  });
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  socket.write(
    ['/first', '/second'].map((path) => `GET ${path} HTTP/1.1\r\nhost: h\r\n\r\n`).join(''),
  );
  await expect.poll(() => received, { timeout: 2_000 }).toContain('body of /second');
  expect(received.indexOf('body of /first')).toBeGreaterThan(0);
  expect(received.indexOf('body of /first')).toBeLessThan(received.indexOf('body of /second'));
});

test('a caller of HTTP/1.0 gets the data without chunks', async () => {
  const port = await startServer((response) => streamChunks(response, [Buffer.from('plain')]));
  const socket = connect(port, '127.0.0.1');
  const received: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => received.push(chunk));
  socket.write('GET / HTTP/1.0\r\n\r\n');
  await new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
  expect(Buffer.concat(received).toString()).toMatch(/\r\n\r\nplain$/);
});
