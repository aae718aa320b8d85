import {
  FleetRetryBudget,
  MAX_UNREACHED_TRIES_PER_SECOND,
  TrackedUpstream,
} from '@goldcrestscale/core';
import { afterEach, expect, test, vi } from 'vitest';
import { ConnectionPool } from '../dispatch/connectionPool.js';
import { UpstreamConnection } from '../dispatch/upstreamConnection.js';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

afterEach(() => {
  vi.restoreAllMocks();
});

/** A VM that has just started has no part of the allowance, so that one request pays for no repeat. */
const STARTING = { retryAllowanceDelayMs: 60_000 };

const UPSTREAM_COUNT = 6;

const FIRST_REQUESTS = 60;

const respond = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine'));
};

const reject = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(503, { 'x-id': id, 'x-not-run': '1' }, ''));
};

const reset = ({ socket }: TestRequest): void => {
  socket.resetAndDestroy();
};

const truncate = ({ id, socket }: TestRequest): void => {
  socket.end(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine').slice(0, -1));
};

const fail = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(500, { 'x-id': id, 'x-sig': 's' }, 'failed'));
};

/** Lists the addresses of the connections that the gateway takes or opens. */
const watchConnections = (): string[] => {
  const addresses: string[] = [];
  const { acquire } = ConnectionPool.prototype;
  vi.spyOn(ConnectionPool.prototype, 'acquire').mockImplementation(function record(
    this: ConnectionPool,
    address,
    ...rest
  ) {
    const connection = acquire.call(this, address, ...rest);
    if (connection) addresses.push(address);
    return connection;
  });
  return addresses;
};

// Guards against a first request that pays for a retry although it reached no upstream.
test.each([1, UPSTREAM_COUNT / 2, UPSTREAM_COUNT - 1])(
  'a starting gateway with %i of 6 upstreams dead serves all its first requests',
  async (deadUpstreams) => {
    const upstreams = Array.from({ length: UPSTREAM_COUNT - deadUpstreams }, () => respond);
    const { call } = await startGateway({ ...STARTING, upstreams, deadUpstreams });
    const replies = [];
    for (let count = 0; count < FIRST_REQUESTS; count += 1) replies.push((await call()).status);
    expect(replies).toEqual(replies.map(() => 200));
  },
);

// Guards against the same for requests that come at once, each of which meets dead upstreams.
test('a starting gateway with half of its upstreams dead serves requests that come at once', async () => {
  const upstreams = Array.from({ length: 3 }, () => respond);
  const { call } = await startGateway({ ...STARTING, upstreams, deadUpstreams: 3 });
  const replies = await Promise.all(Array.from({ length: 20 }, () => call()));
  expect(replies.map(({ status }) => status)).toEqual(replies.map(() => 200));
});

// Guards against repeats of arrived requests that nothing pays for.
test.each([
  ['rejected', reject],
  ['reset', reset],
  ['truncated', truncate],
  ['failed', fail],
])('a starting gateway does not repeat a request that was %s', async (_, end) => {
  const { call, upstreams } = await startGateway({ ...STARTING, upstreams: [end, end] });
  expect((await call()).status).toBeGreaterThanOrEqual(500);
  expect(upstreams.flatMap(({ received }) => received)).toHaveLength(1);
});

// Guards against requests that try dead upstreams in a circle.
test('a request tries no dead upstream twice', async () => {
  const connections = watchConnections();
  const { call, deadAddresses } = await startGateway({
    ...STARTING,
    upstreams: [],
    deadUpstreams: UPSTREAM_COUNT,
  });
  expect((await call()).status).toBe(503);
  expect(connections.toSorted()).toEqual(deadAddresses.toSorted());
});

// Guards against a storm of connects when all upstreams of a service are gone.
test('further tries of all requests of a VM are limited when no upstream can be reached', async () => {
  const connections = watchConnections();
  // As while their heartbeats still come, each of which takes the mark back.
  vi.spyOn(TrackedUpstream.prototype, 'markDown').mockReturnValue();
  const { call } = await startGateway({ ...STARTING, upstreams: [], deadUpstreams: 24 });
  const startedAtMs = performance.now();
  const replies = await Promise.all(Array.from({ length: 200 }, () => call()));
  expect(replies.map(({ status }) => status)).toEqual(replies.map(() => 503));
  const seconds = Math.ceil((performance.now() - startedAtMs) / 1_000);
  const maxConnections = replies.length + seconds * MAX_UNREACHED_TRIES_PER_SECOND;
  expect(connections.length).toBeLessThanOrEqual(maxConnections);
});

// Guards against VMs without free descriptors or ports that take sound upstreams for dead.
test.each(['EMFILE', 'EADDRNOTAVAIL'])(
  'a connect that ends with %s marks no upstream down',
  async (code) => {
    const markDown = vi.spyOn(TrackedUpstream.prototype, 'markDown');
    const shortage = Object.assign(new Error(`connect ${code}`), { code });
    vi.spyOn(UpstreamConnection.prototype, 'waitForOpen').mockRejectedValueOnce(shortage);
    const { call } = await startGateway({ upstreams: [respond] });
    expect((await call()).status).toBe(503);
    expect((await call()).status).toBe(200);
    expect(markDown).not.toHaveBeenCalled();
  },
);

// Guards against callers that get 503 beside a sound upstream, because another one can't be connected to.
test('a lasting shortage of ports towards one upstream refuses no request', async () => {
  const { call } = await startGateway({ upstreams: [respond, respond] });
  const { acquire } = ConnectionPool.prototype;
  const shortage = Object.assign(new Error('connect EADDRNOTAVAIL'), { code: 'EADDRNOTAVAIL' });
  let failures = 0;
  let shortAddress: string | undefined;
  vi.spyOn(ConnectionPool.prototype, 'acquire').mockImplementation(function acquireOrFail(
    this: ConnectionPool,
    address,
    ...rest
  ) {
    const connection = acquire.call(this, address, ...rest);
    shortAddress ??= address;
    if (connection && address === shortAddress) {
      failures += 1;
      vi.spyOn(connection, 'waitForOpen').mockRejectedValue(shortage);
    }
    return connection;
  });
  const statuses: number[] = [];
  for (let round = 0; round < 100; round += 1) {
    const replies = await Promise.all(Array.from({ length: 10 }, () => call()));
    statuses.push(...replies.map(({ status }) => status));
  }
  expect(failures).toBeGreaterThan(MAX_UNREACHED_TRIES_PER_SECOND);
  expect(statuses.filter((status) => status !== 200)).toEqual([]);
});

// Guards against charges that differ from what upstreams count as repeats.
test('exactly the arrivals beyond the first of each request are charged', async () => {
  const charge = vi.spyOn(FleetRetryBudget.prototype, 'recordRetry');
  let received = 0;
  const rejectSome = (request: TestRequest): void => {
    received += 1;
    if (received % 3 === 0) reject(request);
    else respond(request);
  };
  const sound = [rejectSome, rejectSome, rejectSome];
  const { call, upstreams } = await startGateway({ upstreams: sound, deadUpstreams: 3 });
  for (let count = 0; count < 30; count += 1) await call();
  const requests = new Set(upstreams.flatMap(({ received: all }) => all.map(({ id }) => id)));
  expect(received).toBeGreaterThan(requests.size);
  expect(charge).toHaveBeenCalledTimes(received - requests.size);
});
