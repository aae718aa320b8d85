import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { CallerTimes, EventLoopBarrier } from '@goldcrestscale/runtime';
import { HANDSHAKE_TIMEOUT_MS, MAX_CONNECTIONS } from './constants.js';

const UPGRADE_REQUIRED_STATUS = 426;

/** Creates the server that upgrades connections; those that do not ask for it in time are closed. */
export const createUpgradeServer = (): Server => {
  const server = createServer({ keepAliveTimeout: HANDSHAKE_TIMEOUT_MS }, (_request, response) => {
    response.writeHead(UPGRADE_REQUIRED_STATUS, { connection: 'close' });
    response.end();
  });
  const times = new CallerTimes(new EventLoopBarrier(), {
    headMs: HANDSHAKE_TIMEOUT_MS,
    bodyMs: HANDSHAKE_TIMEOUT_MS,
  });
  times.watch(server);
  server.on('upgrade', ({ socket }) => times.release(socket));
  server.maxConnections = MAX_CONNECTIONS;
  return server;
};
