import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, onTestFinished, test } from 'vitest';
import { ListenerConnections } from '../listenerConnections.js';
import { SocketBudget } from '../socketBudget.js';

/** Time after which a connection without a request may make room, and more. */
const IDLE_MS = 700;

const startPort = async (max: number): Promise<number> => {
  const server = createServer((_request, response) => response.end('fine'));
  const connections = new ListenerConnections({
    share: new SocketBudget(100).createShare({ reserved: 0, max }),
    onLoss: () => undefined,
  });
  connections.watchHttp(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  onTestFinished(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
};

const openCaller = (port: number): Socket => {
  const socket = connect(port, '127.0.0.1');
  onTestFinished(() => {
    socket.destroy();
  });
  socket.on('error', () => undefined);
  return socket;
};

const sendRequest = (socket: Socket): Promise<string> =>
  new Promise((resolve) => {
    socket.once('data', (chunk) => resolve(chunk.toString('latin1').split('\r\n')[0]!));
    socket.once('close', () => resolve('closed'));
    socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  });

// Guards against a caller that is reset as idle while its request lies unread behind a new connection.
test('an idle connection whose request came in the same turn as a new one is answered', async () => {
  const port = await startPort(2);
  const [asking, idle] = [openCaller(port), openCaller(port)];
  await Promise.all([once(asking, 'connect'), once(idle, 'connect')]);
  idle.resume();
  await sleep(IDLE_MS);
  const added = openCaller(port);
  // The kernel has both before the event loop polls, the new connection first.
  await new Promise<void>((resolve) => {
    process.nextTick(() => process.nextTick(resolve));
  });
  const answers = [sendRequest(asking)];
  expect(await Promise.all(answers)).toEqual(['HTTP/1.1 200 OK']);
  expect(await sendRequest(added)).toBe('HTTP/1.1 200 OK');
});
