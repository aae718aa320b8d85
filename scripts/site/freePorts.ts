import { createServer } from 'node:net';
import type { Server } from 'node:net';

/**
 * Ports below those that the system gives to outgoing connections, which could take the port of a
 * process that is down for a moment. They are divided into blocks; whoever listens on the first
 * port of a block has the block to itself.
 */
const FIRST_PORT = 12_000;
const BLOCK_COUNT = 60;
const PORTS_OF_BLOCK = 300;

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

/** Claims a block until this process ends; gives its first port. */
const claimBlock = async (): Promise<number> => {
  for (let tried = 0; tried < BLOCK_COUNT; tried += 1) {
    const first = FIRST_PORT + ((process.pid + tried) % BLOCK_COUNT) * PORTS_OF_BLOCK;
    const lock = await tryListen(first);
    if (lock) {
      lock.unref();
      return first;
    }
  }
  throw new Error('every block of ports is in use; end other sites on this machine');
};

let block: Promise<number> | undefined;

let taken = 0;

const findFreePort = async (first: number): Promise<number> => {
  for (let tried = 1; tried < PORTS_OF_BLOCK; tried += 1) {
    const port = first + 1 + (taken % (PORTS_OF_BLOCK - 1));
    taken += 1;
    const server = await tryListen(port);
    if (server) {
      await closeServer(server);
      return port;
    }
  }
  throw new Error(`no free port from ${first} on`);
};

/** Finds ports on the loopback address that are free now; all are different. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  block ??= claimBlock();
  const first = await block;
  const ports: number[] = [];
  while (ports.length < count) ports.push(await findFreePort(first));
  return ports;
};
