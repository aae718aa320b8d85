import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { HANDSHAKE_TIMEOUT_MS, MAX_CONNECTIONS, UPGRADE_CHECK_INTERVAL_MS } from './constants.js';

const UPGRADE_REQUIRED_STATUS = 426;

/** Creates the server that upgrades connections; those that do not ask for it in time are closed. */
export const createUpgradeServer = (): Server => {
  const server = createServer(
    {
      headersTimeout: HANDSHAKE_TIMEOUT_MS,
      requestTimeout: HANDSHAKE_TIMEOUT_MS,
      keepAliveTimeout: HANDSHAKE_TIMEOUT_MS,
      connectionsCheckingInterval: UPGRADE_CHECK_INTERVAL_MS,
    },
    (_request, response) => {
      response.writeHead(UPGRADE_REQUIRED_STATUS, { connection: 'close' });
      response.end();
    },
  );
  server.maxConnections = MAX_CONNECTIONS;
  return server;
};
