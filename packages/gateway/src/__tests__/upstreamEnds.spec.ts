import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect, onTestFinished, test } from 'vitest';
import { PeerLoads, UpstreamRegistry, toId } from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  RegisteredUpstream,
  ServiceName,
  UpstreamId,
} from '@goldcrestscale/core';
import { UpstreamEnds } from '../dispatch/upstreamEnds.js';

const upstreamId = toId<UpstreamId>('up');

/** Interval at which an upstream that lives on writes heartbeats. */
const HEARTBEAT_MS = 500;

/** Time after the loss in which a heartbeat from before it can still arrive. */
const LATE_HEARTBEAT_MS = 400;

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
  const entry: RegisteredUpstream = {
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
  };
  const register = (changes: Partial<RegisteredUpstream> = {}): void => {
    registry.apply({ kind: 'present', upstream: { ...entry, ...changes } });
  };
  const removeEntry = (): void => {
    registry.apply({ kind: 'absent', upstreamId });
  };
  register();
  const writeHeartbeats = (): void => {
    let heartbeat = 1;
    const timer = setInterval(() => {
      heartbeat += 1;
      register({ heartbeat });
    }, HEARTBEAT_MS);
    onTestFinished(() => clearInterval(timer));
  };
  const ends = new UpstreamEnds(registry);
  const upstream = registry.find(upstreamId)!;
  return {
    server,
    registry,
    ends,
    upstream,
    register,
    removeEntry,
    writeHeartbeats,
    countConnections: () => connections,
  };
};

test('an upstream that refuses the next connection has ended', async () => {
  const { server, ends, upstream } = await startUpstream();
  server.close();
  expect(await ends.checkEnd(upstream)).toBe(true);
});

// Guards against blaming requests whose connections were reset while the upstream lives on.
test('an upstream that accepts the next connection and sends heartbeats has not ended', async () => {
  const { ends, upstream, writeHeartbeats } = await startUpstream();
  writeHeartbeats();
  expect(await ends.checkEnd(upstream)).toBe(false);
});

// Guards against taking an upstream that was restarted at once for one that lives on.
test('an upstream that accepts the next connection and is registered with another boot has ended', async () => {
  const { ends, upstream, register } = await startUpstream();
  const check = ends.checkEnd(upstream);
  setTimeout(() => register({ heartbeat: 2 }), LATE_HEARTBEAT_MS);
  setTimeout(() => register({ startedAtMs: 2 }), LATE_HEARTBEAT_MS * 4);
  expect(await check).toBe(true);
});

// Guards against an end that is missed because the upstream is given another id when it restarts.
test('an upstream at whose address another one registers has ended', async () => {
  const { ends, upstream, register } = await startUpstream();
  const check = ends.checkEnd(upstream);
  setTimeout(
    () => register({ upstreamId: toId<UpstreamId>('next'), startedAtMs: 2 }),
    LATE_HEARTBEAT_MS,
  );
  expect(await check).toBe(true);
});

// Guards against blaming a request because its upstream's predecessor is still registered.
test('an upstream whose predecessor is still registered at its address has not ended', async () => {
  const { ends, upstream, register, writeHeartbeats } = await startUpstream();
  register({ upstreamId: toId<UpstreamId>('previous'), startedAtMs: 0 });
  writeHeartbeats();
  expect(await ends.checkEnd(upstream)).toBe(false);
});

test('an upstream that accepts the next connection and whose entry goes has ended', async () => {
  const { ends, upstream, removeEntry } = await startUpstream();
  const check = ends.checkEnd(upstream);
  setTimeout(removeEntry, LATE_HEARTBEAT_MS);
  expect(await check).toBe(true);
});

// Guards against blaming requests for entries that lapsed while the log was unavailable.
test('an upstream whose entry lapses in a log outage and comes back has not ended', async () => {
  const { registry, ends, upstream, removeEntry, writeHeartbeats } = await startUpstream();
  registry.recordLogRecovery();
  const check = ends.checkEnd(upstream);
  removeEntry();
  writeHeartbeats();
  expect(await check).toBe(false);
});

// Guards against a heartbeat after an early loss that hides the end at a later one.
test('a loss after another one is checked by itself', async () => {
  const { ends, upstream, register, writeHeartbeats } = await startUpstream();
  writeHeartbeats();
  const first = ends.checkEnd(upstream);
  await new Promise((resolve) => {
    setTimeout(resolve, HEARTBEAT_MS * 2);
  });
  const second = ends.checkEnd(upstream);
  expect(await first).toBe(false);
  register({ startedAtMs: 2 });
  expect(await second).toBe(true);
});

test('one connection serves all requests that an upstream lost', async () => {
  const { ends, upstream, writeHeartbeats, countConnections } = await startUpstream();
  writeHeartbeats();
  const checks = Array.from({ length: 20 }, () => ends.checkEnd(upstream));
  expect(new Set(await Promise.all(checks))).toEqual(new Set([false]));
  expect(countConnections()).toBe(1);
});
