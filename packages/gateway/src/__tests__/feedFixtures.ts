import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { toId } from '@goldcrestscale/core';
import type { AvailabilityZoneId, BootId, EntryHeartbeat, VmId } from '@goldcrestscale/core';

/** Zone of the relay and its followers. */
export const FEED_ZONE = toId<AvailabilityZoneId>('z1');

/** Finds a free port. */
export const findPort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });

export const makeEntry = (name: string, port: number, size: number): EntryHeartbeat => ({
  vmId: toId<VmId>(name),
  bootId: toId<BootId>('boot'),
  availabilityZone: FEED_ZONE,
  address: `127.0.0.1:${port}`,
  meshAddress: `127.0.0.1:${port}`,
  meshKey: `key of ${name}`,
  leaving: false,
  size,
});
