import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect, onTestFinished, test } from 'vitest';
import { PeerLoads, UpstreamRegistry, toId } from '@goldcrestscale/core';
import type { AvailabilityZoneId, ServiceName, UpstreamId } from '@goldcrestscale/core';
import { UpstreamEnds } from '../dispatch/upstreamEnds.js';

const upstreamId = toId<UpstreamId>('up');

const startUpstream = async () => {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    socket.on('error', () => undefined);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  onTestFinished(() => {
    server.close();
  });
  const registry = new UpstreamRegistry(new PeerLoads(1_500));
  registry.apply({
    kind: 'present',
    upstream: {
      upstreamId,
      service: toId<ServiceName>('service'),
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      availabilityZone: toId<AvailabilityZoneId>('zone'),
      slots: 8,
      draining: false,
      coldRemainingMs: 0,
      weights: [],
      heartbeat: 1,
      startedAtMs: 1,
    },
  });
  const ends = new UpstreamEnds(registry);
  const upstream = registry.find(upstreamId)!;
  return { server, ends, upstream, countConnections: () => connections };
};

test('an upstream that refuses the next connection has ended', async () => {
  const { server, ends, upstream } = await startUpstream();
  server.close();
  expect(await ends.checkEnd(upstream)).toBe(true);
});

// Guards against blaming requests whose connections were reset while the upstream lives on.
test('an upstream that accepts the next connection has not ended', async () => {
  const { ends, upstream } = await startUpstream();
  expect(await ends.checkEnd(upstream)).toBe(false);
});

test('one connection serves all requests that an upstream lost', async () => {
  const { ends, upstream, countConnections } = await startUpstream();
  const checks = Array.from({ length: 20 }, () => ends.checkEnd(upstream));
  expect(new Set(await Promise.all(checks))).toEqual(new Set([false]));
  expect(countConnections()).toBe(1);
});
