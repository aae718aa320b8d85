import { expect, test, vi } from 'vitest';
import {
  OperatorState,
  PeerLoads,
  RejectionLimits,
  ServiceSpeed,
  TrackedUpstream,
  UpstreamPaces,
  createRandomGenerator,
  toId,
} from '@goldcrestscale/core';
import type { UpstreamId } from '@goldcrestscale/core';
import { LeastLoadedUpstreams } from '../dispatch/leastLoadedUpstreams.js';
import { PacedUpstreams } from '../dispatch/pacedUpstreams.js';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';
import { buildTestUpstream } from './testUpstream.js';

const ID = toId<UpstreamId>('up-0');

/** Answers and reports a slowdown. */
const makeAnswering =
  (slowdown: number) =>
  ({ id, socket }: TestRequest): void => {
    const headers = { 'x-id': id, 'x-sig': 's', 'x-slowdown': String(slowdown) };
    socket.write(buildResponse(200, headers, 'fine'));
  };

const PROMPT = { 'x-model': 'm', 'x-parts': 'session', 'x-tokens': '100' };

const makeUpstreams = (count: number): readonly TrackedUpstream[] => {
  const serviceSpeed = new ServiceSpeed();
  return Array.from({ length: count }, (_, index) => {
    const entry = buildTestUpstream(`up-${index}`, { slots: 6 });
    return new TrackedUpstream(entry, new PeerLoads(1_000), serviceSpeed);
  });
};

const createLeastLoaded = (): LeastLoadedUpstreams => {
  const random = createRandomGenerator();
  const paces = new UpstreamPaces({ findSenders: () => ({ rank: 0, count: 1 }) });
  const ejection = { getState: () => 'closed' } as never;
  const rejectionLimits = new RejectionLimits({
    countSenders: () => 1,
    findMeanRunMs: () => undefined,
    onChange: () => undefined,
  });
  return new LeastLoadedUpstreams(
    { random, rejectionLimits },
    new PacedUpstreams({ paces, ejection, operators: new OperatorState() }),
  );
};

/** Sends requests that never end; gives the share of the first upstream. */
const measureShare = (upstreams: readonly TrackedUpstream[], requests: number): number => {
  const leastLoaded = createLeastLoaded();
  for (let request = 0; request < requests; request += 1) {
    leastLoaded.choose(upstreams)!.recordDispatch(0);
  }
  return upstreams[0]!.inFlight / requests;
};

test('one of three plain upstreams is slow by 3.5 and gets its part of the requests', () => {
  vi.useFakeTimers();
  const [upstreams, alike] = [makeUpstreams(3), makeUpstreams(3)];
  for (let round = 0; round < 20; round += 1) {
    upstreams.forEach(({ speed }, index) => {
      const slowdown = index === 0 ? 3.5 : 1;
      const elapsedMs = 20 * slowdown;
      speed.recordAnswer({ reported: slowdown, kind: 'route', units: 1, elapsedMs });
    });
    vi.advanceTimersByTime(200);
  }
  expect(measureShare(upstreams, 120)).toBeLessThan(0.22);
  // Requests over slots, as before.
  expect(measureShare(alike, 120)).toBeGreaterThan(0.3);
  vi.useRealTimers();
});

test('each sound answer tells of the speed of its upstream, and no failure does', async () => {
  const statuses = [200, 200, 200, 500];
  const { call, fleetState } = await startGateway({
    route: { carriesPrompt: true, maxUpstreams: 1 },
    upstreams: [
      ({ id, socket }) => {
        const headers = { 'x-id': id, 'x-sig': 's', 'x-slowdown': '2.5' };
        socket.write(buildResponse(statuses.shift() ?? 200, headers, 'answer'));
      },
    ],
  });
  const { speed } = fleetState.registry.find(ID)!;
  const recordAnswer = vi.spyOn(speed, 'recordAnswer');
  await call();
  await call({ headers: PROMPT });
  await call({ headers: { ...PROMPT, 'x-tokens': '100000' } });
  expect((await call()).status).toBe(500);
  expect(
    recordAnswer.mock.calls.map(([{ reported, kind, units }]) => [reported, kind, units]),
  ).toEqual([
    [2.5, 'route', 1],
    [2.5, 'prefill', 0],
    [2.5, 'prefill', 99_990],
  ]);
});

test('requests go past an upstream whose pace has no room, and to it if there is no other', async () => {
  const upstreams = [makeAnswering(1), makeAnswering(1)];
  const { call, fleetState, ...gateway } = await startGateway({
    route: { carriesPrompt: true },
    upstreams,
  });
  const canTake = vi.spyOn(fleetState.paces, 'canTake');
  canTake.mockImplementation(({ upstreamId }) => upstreamId !== ID);
  for (let count = 0; count < 6; count += 1) {
    expect((await call({ headers: count % 2 ? PROMPT : {} })).status).toBe(200);
  }
  expect(gateway.upstreams[0]!.received).toHaveLength(0);
  canTake.mockReturnValue(false);
  for (let count = 0; count < 6; count += 1) {
    expect((await call({ headers: count % 2 ? PROMPT : {} })).status).toBe(200);
  }
});

test('prompts go to a paced upstream before they run on old weights, or are refused', async () => {
  const { call, chooser, fleetState } = await startGateway({
    route: { carriesPrompt: true },
    upstreams: [makeAnswering(1), makeAnswering(1)],
  });
  vi.spyOn(fleetState.paces, 'canTake').mockImplementation(({ upstreamId }) => upstreamId !== ID);
  const router = (chooser as unknown as { promptRouter: { choose: () => unknown } }).promptRouter;
  const upstream = fleetState.registry.find(ID)!;
  const choice = { upstream, prefillTokens: 0, firstTokenMs: 0, isOutdated: false };
  const choose = vi.spyOn(router, 'choose');
  choose.mockImplementation(((_: unknown, engines: readonly unknown[]) =>
    engines.includes(upstream) ? choice : { retryAfterMs: 900 }) as never);
  expect((await call({ headers: PROMPT })).status).toBe(200);
  choose.mockImplementation(((_: unknown, engines: readonly unknown[]) =>
    engines.includes(upstream)
      ? choice
      : { ...choice, isOutdated: true, upstream: engines[0] }) as never);
  expect((await call({ headers: PROMPT })).status).toBe(200);
  expect(fleetState.registry.find(ID)!.inFlight).toBe(0);
});
