import { EventEmitter } from 'node:events';
import type { Server } from 'node:net';
import { expect, test } from 'vitest';
import { ListenerConnections } from '../listenerConnections.js';

// Guards against listeners whose connections nobody sees.
test('counts the connections that are open', () => {
  const server = new EventEmitter();
  const connections = new ListenerConnections();
  connections.watch(server as Server);
  const sockets = [new EventEmitter(), new EventEmitter()];
  sockets.forEach((socket) => server.emit('connection', socket));
  sockets[0]!.emit('close');
  expect(connections.openCount).toBe(1);
});
