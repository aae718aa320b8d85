import { setTimeout as pause } from 'node:timers/promises';
import { expect, onTestFinished, test } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type { UpstreamId } from '@goldcrestscale/core';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const REPEATS = 14;

const REPEAT_INTERVAL_MS = 300;

/** A request under which this many boots have ended may be sent this many times more. */
const FREE_ENDS = 3;
const MAX_LATER_SENDS = 3;

/** Time for which a request runs before its upstream crashes, resets or answers. */
const RUN_MS = 40;

/** Interval of the heartbeats, and time until the gateway has read one. */
const HEARTBEAT_MS = 1_000;
const REGISTRY_DELAY_MS = 150;

/** Time for which the entry of an upstream that was given another id at its restart stays. */
const LAPSE_MS = 3_000;

/** Longest time from a heartbeat until the gateway takes a lost connection for no end. */
const SETTLING_MS = 2_500;

const TARGET = { path: '/a/target?id=7', body: 'same body' };

/**
 * Upstreams that accept again at their address as soon as they lost their connections. The registry
 * gets their heartbeats late.
 */
const startRestartingGateway = async (count: number, isRenamed = false) => {
  const state = { isFailing: true, isRestarting: true, sent: 0, endedAtSends: [] as number[] };
  const boots = Array.from({ length: count }, () => ({ startedAtMs: 1, heartbeat: 1 }));
  const losses: (() => void)[] = [];
  const getId = (index: number): UpstreamId => {
    const { startedAtMs } = boots[index]!;
    const suffix = isRenamed && startedAtMs > 1 ? `-${startedAtMs}` : '';
    return toId<UpstreamId>(`up-${index}${suffix}`);
  };
  const upstreams = boots.map((_, index) => ({ id, head, socket }: TestRequest): void => {
    const currentId = getId(index);
    if (!head.includes(`x-expect: ${currentId}\r\n`)) {
      socket.write(buildResponse(421, { 'x-id': id, 'x-sig': 's', 'x-instance': currentId }, ''));
      return;
    }
    const isFailing = state.isFailing && head.includes(`${TARGET.path} `);
    if (isFailing) state.sent += 1;
    setTimeout(() => {
      if (isFailing) losses[index]!();
      else socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine'));
    }, RUN_MS);
  });
  const gateway = await startGateway({ route: { maxUpstreams: 2 }, upstreams });
  const { registry } = gateway.fleetState;
  const entries = boots.map(
    (_, index) => registry.find(toId<UpstreamId>(`up-${index}`))!.registered,
  );
  const timers = new Set<NodeJS.Timeout>();
  const beat = (index: number): void => {
    const { startedAtMs, heartbeat } = boots[index]!;
    boots[index] = { startedAtMs, heartbeat: heartbeat + 1 };
    const upstreamId = getId(index);
    const upstream = { ...entries[index]!, upstreamId, startedAtMs, heartbeat: heartbeat + 1 };
    timers.add(setTimeout(() => registry.apply({ kind: 'present', upstream }), REGISTRY_DELAY_MS));
  };
  boots.forEach((_, index) => {
    let timer = setInterval(() => beat(index), HEARTBEAT_MS);
    timers.add(timer);
    losses[index] = () => {
      gateway.upstreams[index]!.dropConnections();
      if (!state.isRestarting) return;
      state.endedAtSends.push(state.sent);
      const upstreamId = getId(index);
      if (isRenamed) {
        timers.add(setTimeout(() => registry.apply({ kind: 'absent', upstreamId }), LAPSE_MS));
      }
      boots[index] = { startedAtMs: boots[index]!.startedAtMs + 1, heartbeat: 0 };
      clearInterval(timer);
      timer = setInterval(() => beat(index), HEARTBEAT_MS);
      timers.add(timer);
    };
  });
  onTestFinished(() => timers.forEach((timer) => clearTimeout(timer)));
  return { ...gateway, state };
};

const countLaterSends = ({ sent, endedAtSends }: { sent: number; endedAtSends: number[] }) =>
  sent - (endedAtSends[FREE_ENDS - 1] ?? sent);

// Guards against a request that ends boot after boot of upstreams that accept again before the probe.
test.each([
  { count: 24, isRenamed: false },
  { count: 3, isRenamed: false },
  { count: 1, isRenamed: false },
  { count: 24, isRenamed: true },
  { count: 3, isRenamed: true },
])(
  'a request that ends $count upstreams is refused if they accept again at once (other id: $isRenamed)',
  async ({ count: upstreams, isRenamed }) => {
    const { call, state } = await startRestartingGateway(upstreams, isRenamed);
    const soundStatuses: number[] = [];
    for (let count = 0; count < REPEATS; count += 1) {
      await call(TARGET);
      soundStatuses.push((await call({ ...TARGET, path: '/a/target?id=8' })).status);
      await pause(REPEAT_INTERVAL_MS);
    }
    expect(state.endedAtSends.length).toBeGreaterThanOrEqual(FREE_ENDS);
    expect(countLaterSends(state)).toBeLessThanOrEqual(MAX_LATER_SENDS);
    expect((await call(TARGET)).status).toBe(400);
    // Until the other ids are registered, a small service may have no upstream left.
    const expected = isRenamed ? [200, 503] : [200];
    expect(soundStatuses.filter((status) => !expected.includes(status))).toEqual([]);
  },
  20_000,
);

// Guards against blaming a request for connections that upstreams reset and that live on.
test('resets by upstreams whose boot stays in the registry count as no ends', async () => {
  const { call, state, fleetState } = await startRestartingGateway(24);
  state.isRestarting = false;
  const statuses: number[] = [];
  for (let count = 0; count < REPEATS; count += 1) {
    statuses.push((await call(TARGET)).status);
    await pause(REPEAT_INTERVAL_MS);
  }
  expect(statuses).not.toContain(400);
  expect(state.sent).toBeGreaterThan(FREE_ENDS);
  await pause(SETTLING_MS);
  expect(fleetState.quarantine.dump()).toEqual([]);
  state.isFailing = false;
  expect((await call(TARGET)).status).toBe(200);
}, 20_000);
