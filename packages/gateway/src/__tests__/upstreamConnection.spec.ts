import { expect, onTestFinished, test } from 'vitest';
import { UPSTREAM_CONNECT_TIMEOUT_MS } from '../constants.js';
import type { ExchangeHandler } from '../dispatch/connectionExchange.js';
import { UpstreamConnection } from '../dispatch/upstreamConnection.js';
import { FakeUpstream, buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';

const startUpstream = async (respond: (request: TestRequest) => void): Promise<string> => {
  const upstream = new FakeUpstream(respond);
  onTestFinished(() => upstream.close());
  return upstream.listen();
};

/** Sends a request and lists the events of its exchange. */
const sendRequest = (connection: UpstreamConnection): Promise<readonly string[]> =>
  new Promise((resolve) => {
    const events: string[] = [];
    const finish = (event: string): void => {
      events.push(event);
      resolve(events);
    };
    const handler: ExchangeHandler = {
      onSend: () => events.push('send'),
      onHead: ({ status }) => events.push(`head ${status}`),
      onData: (chunk) => events.push(`data ${chunk.toString()}`),
      onEnd: () => finish('end'),
      onError: () => finish('error'),
    };
    const request = { method: 'GET', path: '/', headers: ['host', 'h'], body: Buffer.alloc(0) };
    connection.send(request, handler);
  });

test('passes on the events of an exchange in order', async () => {
  const address = await startUpstream(({ socket }) => socket.write(buildResponse(200, {}, 'fine')));
  const connection = new UpstreamConnection(address, () => undefined);
  onTestFinished(() => connection.close());
  expect(await sendRequest(connection)).toEqual(['send', 'head 200', 'data fine', 'end']);
  connection.markIdle();
  expect(await sendRequest(connection)).toEqual(['send', 'head 200', 'data fine', 'end']);
});

test('a request after the last response of a connection fails before it is sent', async () => {
  const address = await startUpstream(({ socket }) =>
    socket.write(buildResponse(200, { connection: 'close' }, 'last')),
  );
  let closed = 0;
  const connection = new UpstreamConnection(address, () => {
    closed += 1;
  });
  await sendRequest(connection);
  connection.markIdle();
  expect(await sendRequest(connection)).toEqual(['error']);
  expect(connection.isOpen).toBe(false);
  expect(closed).toBe(1);
});

test('a request on a connection that was closed fails before it is sent', async () => {
  const address = await startUpstream(({ socket }) => socket.write(buildResponse(200, {}, 'fine')));
  const connection = new UpstreamConnection(address, () => undefined);
  await sendRequest(connection);
  connection.close();
  expect(await sendRequest(connection)).toEqual(['error']);
});

test('an unreachable upstream ends the exchange without a send', async () => {
  const connection = new UpstreamConnection('127.0.0.1:1', () => undefined);
  expect(await sendRequest(connection)).toEqual(['error']);
  await expect.poll(() => connection.isOpen).toBe(false);
});

// Guards against an upstream that passes for unreachable because this VM stood still.
test('a pause of the process is no connect timeout', async () => {
  const address = await startUpstream(() => undefined);
  const connection = new UpstreamConnection(address, () => undefined);
  onTestFinished(() => connection.close());
  const opened = connection.waitForOpen();
  const endMs = performance.now() + UPSTREAM_CONNECT_TIMEOUT_MS + 100;
  while (performance.now() < endMs);
  await opened;
  expect(connection.isOpen).toBe(true);
});
