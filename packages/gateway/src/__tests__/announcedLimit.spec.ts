import { setTimeout as pause } from 'node:timers/promises';
import { expect, test } from 'vitest';
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
