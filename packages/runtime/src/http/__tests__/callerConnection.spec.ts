import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { expect, onTestFinished, test } from 'vitest';
import { trackCaller } from '../callerConnection.js';

interface TrackedRequest {
  readonly response: ServerResponse;
  readonly signal: AbortSignal;
  readonly overCount: number;
}

/** Starts a server and connects to it; requests are answered by the tests. */
const openConnection = async (): Promise<{
  readonly client: Socket;
  readonly requests: TrackedRequest[];
}> => {
  const requests: TrackedRequest[] = [];
  const server = createServer((request, response) => {
    let overCount = 0;
    const tracked: TrackedRequest = {
      response,
      signal: trackCaller(request, response, () => {
        overCount += 1;
      }),
      get overCount() {
        return overCount;
      },
    };
    requests.push(tracked);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const client = connect({
    port: (server.address() as AddressInfo).port,
    host: '127.0.0.1',
    allowHalfOpen: true,
  });
  client.on('error', () => undefined).resume();
  onTestFinished(() => {
    client.destroy();
    server.closeAllConnections();
    server.close();
  });
  return { client, requests };
};

const REQUEST = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n';

test.each([
  ['closes', (client: Socket) => client.destroy()],
  ['resets', (client: Socket) => client.resetAndDestroy()],
  ['half-closes', (client: Socket) => client.end()],
])('a caller that %s its connection has left', async (_how, leave) => {
  const { client, requests } = await openConnection();
  client.write(REQUEST);
  await expect.poll(() => requests.length).toBe(1);
  leave(client);
  await expect.poll(() => requests[0]!.signal.aborted).toBe(true);
  expect(requests[0]!.overCount).toBe(1);
});

// Guards against requests that were sent on because only the first one of a connection saw its close.
test('all requests that wait on a connection see its close', async () => {
  const { client, requests } = await openConnection();
  client.write(REQUEST.repeat(3));
  await expect.poll(() => requests.length).toBe(3);
  client.destroy();
  await expect.poll(() => requests.map(({ signal }) => signal.aborted)).toEqual([true, true, true]);
  expect(requests.map(({ overCount }) => overCount)).toEqual([1, 1, 1]);
});

// Guards against an uncaught error in requests that are parsed after the end of their connection.
test('a request that is tracked after the end of its connection has no caller', async () => {
  const { client, requests } = await openConnection();
  client.write(REQUEST);
  await expect.poll(() => requests.length).toBe(1);
  client.destroy();
  await expect.poll(() => requests[0]!.signal.aborted).toBe(true);
  const { req, socket } = requests[0]!.response;
  const late = { socket: socket ?? req.socket } as IncomingMessage;
  const overs: boolean[] = [];
  const signal = trackCaller(late, requests[0]!.response, (hasLeft) => overs.push(hasLeft));
  expect(signal.aborted).toBe(true);
  expect(overs).toEqual([true]);
});

test('a caller with a whole response has not left', async () => {
  const { client, requests } = await openConnection();
  client.write(REQUEST);
  await expect.poll(() => requests.length).toBe(1);
  requests[0]!.response.end('fine');
  await expect.poll(() => requests[0]!.overCount).toBe(1);
  client.destroy();
  client.write(REQUEST);
  expect(requests[0]!.signal.aborted).toBe(false);
});

test('a response that this side cuts ends the request', async () => {
  const { client, requests } = await openConnection();
  client.write(REQUEST);
  await expect.poll(() => requests.length).toBe(1);
  requests[0]!.response.destroy();
  await expect.poll(() => requests[0]!.signal.aborted).toBe(true);
});
