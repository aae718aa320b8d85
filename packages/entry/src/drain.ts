import type { Server } from 'node:http';
import { sleep } from '@goldcrestscale/core';

/**
 * Shuts a listener down without cutting a request: goes on accepting while callers may still hold
 * this VM's address, then closes and waits for the requests that run.
 */
export const drainServer = async (server: Server, keptAnswerMs: number): Promise<void> => {
  await sleep(keptAnswerMs);
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
};
