import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { onTestFinished } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  BootId,
  EntryHeartbeat,
  EntryRoster,
  VmId,
} from '@goldcrestscale/core';
import { HEARTBEAT_INTERVAL_MS } from '../constants.js';

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

/** Records the heartbeats of VMs until the test ends; without new ones, they are gone after seconds. */
export const keepHeartbeats = (roster: EntryRoster, entries: readonly EntryHeartbeat[]): void => {
  const record = (): void => entries.forEach((entry) => roster.recordHeartbeat(entry));
  record();
  const timer = setInterval(record, HEARTBEAT_INTERVAL_MS);
  onTestFinished(() => clearInterval(timer));
};

/** Makes small VMs, named by their index. */
export const makeEntries = (count: number): readonly EntryHeartbeat[] =>
  Array.from({ length: count }, (_, index) => makeEntry(`vm-${index}`, 1, 1));
