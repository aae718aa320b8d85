import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

const openServer = (): Promise<Server> =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(server));
  });

const closeServer = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
  });

/** Finds ports on the loopback address that are free now; all are different. */
export const findFreePorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(Array.from({ length: count }, openServer));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(closeServer));
  return ports;
};
