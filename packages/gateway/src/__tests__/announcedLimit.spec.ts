import { setTimeout as pause } from 'node:timers/promises';
import { expect, test, vi } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type { UpstreamId } from '@goldcrestscale/core';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const LIMIT = 2.2;

/** An upstream takes this many requests in any 4 s: one and a half times its limit, and five. */
const MAX_REQUESTS = Math.floor(1.5 * 4 * LIMIT + 5);

const respond = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine'));
};

const respondLimited = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's', 'x-limit': `${LIMIT}` }, 'fine'));
};

// Guards against sending an upstream more requests than the limit that it announced.
test('an upstream gets at most the request rate that it announced', async () => {
  const { call, upstreams } = await startGateway({ upstreams: [respondLimited, respond] });
  const statuses: number[] = [];
  for (let count = 0; count < 100; count += 1) {
    statuses.push((await call()).status);
    await pause(10);
  }
  expect(upstreams[0]!.received.length).toBeGreaterThan(0);
  expect(upstreams[0]!.received.length).toBeLessThanOrEqual(MAX_REQUESTS);
  expect(statuses.filter((status) => status !== 200)).toEqual([]);
});

test('a request for which no rate limit leaves a permit is refused at once, as not run', async () => {
  const { call, upstreams } = await startGateway({ upstreams: [respondLimited, respondLimited] });
  const replies = [];
  for (let count = 0; count < 40; count += 1) {
    const startedAtMs = performance.now();
    const reply = await call();
    replies.push({ ...reply, elapsedMs: performance.now() - startedAtMs });
  }
  const refused = replies.filter(({ status }) => status !== 200);
  expect(refused.length).toBeGreaterThan(0);
  expect(new Set(refused.map(({ status }) => status))).toEqual(new Set([503]));
  refused.forEach(({ body, elapsedMs, headers }) => {
    expect(body).toContain('rate_limited');
    expect(elapsedMs).toBeLessThan(300);
    expect(Number(headers['retry-after'])).toBeGreaterThan(0);
  });
  expect(upstreams.reduce((sum, { received }) => sum + received.length, 0)).toBe(
    replies.length - refused.length,
  );
});

test('a rate limit ends no connection, ejects no upstream and ends with its announcement', async () => {
  let isLimited = true;
  const { call, fleetState } = await startGateway({
    upstreams: [(request) => (isLimited ? respondLimited(request) : respond(request))],
  });
  const boot = { upstreamId: toId<UpstreamId>('up-0'), startedAtMs: 1 };
  await call();
  expect(fleetState.announcedRates.find(boot)?.requestsPerSecond).toBe(LIMIT);
  // A granter that has granted nothing yet makes up for one permit.
  const statuses = [];
  for (let count = 0; count < 4; count += 1) statuses.push((await call()).status);
  expect(statuses.at(-1)).toBe(503);
  expect(fleetState.ejection.getState(boot.upstreamId)).not.toBe('open');
  isLimited = false;
  // One more request is due within half a second, and the lower announcement counts as long again.
  await vi.waitFor(async () => expect((await call()).status).toBe(200), { timeout: 3_000 });
  await pause(600);
  const replies = await Promise.all(Array.from({ length: 10 }, () => call()));
  expect(replies.every(({ status }) => status === 200)).toBe(true);
});
