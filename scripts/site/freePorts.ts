import { createServer } from 'node:net';
import type { Server } from 'node:net';

/**
 * Ports below those that the system gives to outgoing connections, which could take the port of a
 * process that is down for a moment. Each process picks from a block of its own.
 */
const FIRST_PORT = 12_000;
const BLOCK_COUNT = 40;
const PORTS_OF_BLOCK = 450;

const firstOfBlock = FIRST_PORT + (process.pid % BLOCK_COUNT) * PORTS_OF_BLOCK;

let next = 0;

const takeNextPort = (): number => {
  const port = firstOfBlock + (next % PORTS_OF_BLOCK);
  next += 1;
  return port;
};

const tryListen = (port: number): Promise<Server | undefined> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });

const closeServer = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
  });

const findFreePort = async (): Promise<number> => {
  for (let tried = 0; tried < PORTS_OF_BLOCK; tried += 1) {
    const port = takeNextPort();
    const server = await tryListen(port);
    if (server) {
      await closeServer(server);
      return port;
    }
  }
  throw new Error(`no free port from ${firstOfBlock} on`);
};

/** Finds ports on the loopback address that are free now; all are different. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const ports: number[] = [];
  while (ports.length < count) ports.push(await findFreePort());
  return ports;
};
