import type { Server } from 'node:http';
import { sleep } from '@goldcrestscale/core';

/**
 * Shuts a server down gracefully: it continues to accept requests while callers may still have this
 * VM's address cached, then closes and waits for the requests in flight.
 */
export const drainServer = async (server: Server, entriesTtlMs: number): Promise<void> => {
  await sleep(entriesTtlMs);
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
};
