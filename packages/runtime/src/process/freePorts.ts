import { createServer } from 'node:net';
import type { Server } from 'node:net';

/**
 * Ports below the ephemeral range: an outgoing connection could otherwise take the port of a process
 * while it restarts. The ports are split into ranges; the process that listens on the first port of
 * a range owns the whole range.
 */
const FIRST_PORT = 12_000;
const RANGE_COUNT = 60;
const PORTS_PER_RANGE = 300;

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

/** Claims a port range for the lifetime of this process and returns its first port. */
const claimPortRange = async (): Promise<number> => {
  for (let attempt = 0; attempt < RANGE_COUNT; attempt += 1) {
    const first = FIRST_PORT + ((process.pid + attempt) % RANGE_COUNT) * PORTS_PER_RANGE;
    const lock = await tryListen(first);
    if (lock) {
      lock.unref();
      return first;
    }
  }
  throw new Error('every port range is in use; stop other sites on this machine');
};

let claimedRange: Promise<number> | undefined;

let nextIndex = 0;

const findFreePort = async (first: number): Promise<number> => {
  for (let attempt = 1; attempt < PORTS_PER_RANGE; attempt += 1) {
    const port = first + 1 + (nextIndex % (PORTS_PER_RANGE - 1));
    nextIndex += 1;
    const server = await tryListen(port);
    if (server) {
      await closeServer(server);
      return port;
    }
  }
  throw new Error(`no free port in the range that starts at ${first}`);
};

/** Finds distinct free ports on the loopback address. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  claimedRange ??= claimPortRange();
  const first = await claimedRange;
  const ports: number[] = [];
  while (ports.length < count) ports.push(await findFreePort(first));
  return ports;
};
