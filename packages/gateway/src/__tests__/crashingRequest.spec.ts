import { setTimeout as pause } from 'node:timers/promises';
import { expect, test, vi } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type { RouteRule, UpstreamId } from '@goldcrestscale/core';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const UPSTREAMS = 14;

const REPEATS = 12;

const REPEAT_INTERVAL_MS = 300;

/** A fleet may send a request this many times after three upstreams ended under it. */
const MAX_ENDED = 3 + 3;

/** Time for which a request runs before its upstream crashes or answers. */
const RUN_MS = 40;

/** Time from the last end until a held request is tried. */
const HOLD_MS = 1_600;

const CRASHING = { path: '/a/crash?id=7', body: 'same body' };

const startCrashingGateway = async (route: Partial<RouteRule> = {}, maxCrashes = Infinity) => {
  const ended = new Set<number>();
  const ends: (() => void)[] = [];
  /** Answers to the crashing request after the last crash. */
  const answers: (() => void)[] = [];
  const responders = Array.from(
    { length: UPSTREAMS },
    (_, index) =>
      ({ id, head, socket }: TestRequest): void => {
        const isTarget = head.includes('/a/crash?id=7 ');
        const isCrashing = isTarget && ended.size < maxCrashes;
        const answer = (): void => {
          socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine'));
        };
        if (isTarget && !isCrashing) answers.push(answer);
        else setTimeout(() => (isCrashing ? ends[index]!() : answer()), RUN_MS);
      },
  );
  const gateway = await startGateway({
    route: { maxUpstreams: 2, ...route },
    upstreams: responders,
  });
  const { registry } = gateway.fleetState;
  gateway.upstreams.forEach((upstream, index) => {
    ends[index] = () => {
      ended.add(index);
      upstream.close();
      // The registry notices an upstream that ended later.
      setTimeout(
        () => registry.apply({ kind: 'absent', upstreamId: toId<UpstreamId>(`up-${index}`) }),
        REPEAT_INTERVAL_MS,
      );
    };
  });
  return { ...gateway, ended, answers };
};

// Guards against one request, sent again and again, that ends one upstream after the other.
test('a request that ends upstream after upstream is refused', async () => {
  const { call, ended } = await startCrashingGateway();
  const soundStatuses: number[] = [];
  for (let count = 0; count < REPEATS; count += 1) {
    const crashing = call(CRASHING);
    soundStatuses.push((await call({ path: '/a/crash?id=8', body: 'same body' })).status);
    await crashing;
    await pause(REPEAT_INTERVAL_MS);
  }
  expect(ended.size).toBeGreaterThan(0);
  expect(ended.size).toBeLessThanOrEqual(MAX_ENDED);
  expect(soundStatuses.filter((status) => status === 400)).toEqual([]);
});

// Guards against the refusal of a sound request, because two upstreams ended while they ran it.
test('a request under which two upstreams ended is tried once, and its answer frees it', async () => {
  const { call, ended, answers } = await startCrashingGateway({ maxUpstreams: 1 }, 2);
  for (let count = 0; count < 2; count += 1) {
    await call(CRASHING);
    await pause(REPEAT_INTERVAL_MS);
  }
  expect(ended.size).toBe(2);
  expect((await call(CRASHING)).status).toBe(503);
  await pause(HOLD_MS);
  const trial = call(CRASHING);
  await vi.waitFor(() => expect(answers).toHaveLength(1));
  expect((await call(CRASHING)).status).toBe(503);
  answers[0]!();
  expect((await trial).status).toBe(200);
  const next = call(CRASHING);
  await vi.waitFor(() => expect(answers).toHaveLength(2));
  answers[1]!();
  expect((await next).status).toBe(200);
});
