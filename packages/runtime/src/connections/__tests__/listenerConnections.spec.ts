import { EventEmitter } from 'node:events';
import type { Server, Socket } from 'node:net';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { ListenerConnections } from '../listenerConnections.js';
import { SocketBudget } from '../socketBudget.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

class FakeSocket extends EventEmitter {
  destroyed = false;

  destroy(): void {
    this.destroyed = true;
    this.emit('close');
  }
}

const MAX_OPEN = 2;

const connectSocket = (server: EventEmitter): FakeSocket => {
  const socket = new FakeSocket();
  server.emit('connection', socket);
  return socket;
};

const startListener = () => {
  const server = new EventEmitter();
  const losses: string[] = [];
  const connections = new ListenerConnections({
    share: new SocketBudget(100).createShare({ reserved: 0, max: MAX_OPEN }),
    onLoss: (loss) => losses.push(loss),
  });
  connections.watch(server as Server);
  const connect = (): FakeSocket => {
    const socket = connectSocket(server);
    vi.advanceTimersByTime(1_000);
    return socket;
  };
  return { server, connections, losses, connect };
};

// Guards against listeners whose connections nobody sees.
test('counts the connections that are open', () => {
  const { connections, connect } = startListener();
  connect();
  connect().destroy();
  expect(connections.openCount).toBe(1);
});

// Guards against callers that are reset because connections that send nothing hold all descriptors.
test('a new connection takes the place of the longest idle one', () => {
  const { connections, losses, connect } = startListener();
  const sockets = [connect(), connect(), connect()];
  expect(sockets.map(({ destroyed }) => destroyed)).toEqual([true, false, false]);
  expect(losses).toEqual(['idle-closed']);
  expect(connections.openCount).toBe(MAX_OPEN);
});

// Guards against requests that are cut for new connections.
test('a new connection is refused while all others have requests', () => {
  const { connections, losses, connect } = startListener();
  const sockets = [connect(), connect()];
  sockets.forEach((socket) => connections.markBusy(socket as unknown as Socket));
  const refused = connect();
  expect([...sockets, refused].map(({ destroyed }) => destroyed)).toEqual([false, false, true]);
  expect(losses).toEqual(['refused']);
  sockets[0]!.destroy();
  expect(connect().destroyed).toBe(false);
});

// Guards against a caller that is reset as idle, although its request came before the new connection.
test('a connection whose request is read after a new connection is not idle', () => {
  const { server, connections, losses, connect } = startListener();
  const [asking, idle] = [connect(), connect()];
  const added = connectSocket(server);
  connections.markBusy(asking as unknown as Socket);
  vi.advanceTimersByTime(1_000);
  expect([asking, idle, added].map(({ destroyed }) => destroyed)).toEqual([false, true, false]);
  expect(losses).toEqual(['idle-closed']);
});

// Guards against a request that was begun and is then cut, because there is no room for its connection.
test('a new connection whose request has been read is kept beyond the limit', () => {
  const { server, connections, connect } = startListener();
  const sockets = [connect(), connect()];
  const added = connectSocket(server);
  [...sockets, added].forEach((socket) => connections.markBusy(socket as unknown as Socket));
  vi.advanceTimersByTime(1_000);
  expect(added.destroyed).toBe(false);
  expect(connections.openCount).toBe(MAX_OPEN + 1);
  sockets[0]!.destroy();
  // The place is taken by the connection beyond the limit.
  expect(connections.openCount).toBe(MAX_OPEN);
  expect(connect().destroyed).toBe(true);
});

test('only a few connections are kept beyond the limit', () => {
  const { server, connections, connect } = startListener();
  const sockets = [connect(), connect()];
  for (let count = 0; count < 100; count += 1) sockets.push(connectSocket(server));
  expect(connections.openCount).toBeLessThanOrEqual(MAX_OPEN + 16);
  sockets.forEach((socket) => connections.markBusy(socket as unknown as Socket));
  vi.advanceTimersByTime(1_000);
  expect(connections.openCount).toBeLessThanOrEqual(MAX_OPEN + 16);
  sockets.forEach((socket) => socket.destroy());
  expect(connections.openCount).toBe(0);
  expect([connect(), connect()].map(({ destroyed }) => destroyed)).toEqual([false, false]);
});
