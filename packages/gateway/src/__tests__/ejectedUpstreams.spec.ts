import { expect, test } from 'vitest';
import { CONSECUTIVE_FAILURES_TO_OPEN, toId } from '@goldcrestscale/core';
import type { AvailabilityZoneId, UpstreamId, VmId } from '@goldcrestscale/core';
import { createMetricsRegistry } from '@goldcrestscale/runtime';
import { createFleetState } from '../compose/createFleetState.js';
import { createGatewayMetrics } from '../metrics.js';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';
import type { TestCall } from './gatewayHarness.js';
import { buildTestUpstream } from './testUpstream.js';

type Respond = (request: TestRequest) => void;

const CALLER_COUNT = 20;

const RUN_MS = 2_000;

/** Time in which a VM may find out about a faulty upstream. */
const LEARN_MS = 1_000;

const SOUND_DELAY_MS = 20;

const respond: Respond = ({ id, socket }) => {
  const response = buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine');
  setTimeout(() => socket.destroyed || socket.write(response), SOUND_DELAY_MS);
};

const faults: Readonly<Record<string, Respond>> = {
  garbage: ({ socket }) => socket.write('no answer\r\n\r\n'),
  'a reset': ({ socket }) => socket.resetAndDestroy(),
  'an unsigned success': ({ id, socket }) =>
    socket.write(buildResponse(200, { 'x-id': id }, 'fine')),
  'an error': ({ id, socket }) =>
    socket.write(buildResponse(500, { 'x-id': id, 'x-sig': 's' }, 'no')),
};

const alternate = (fault: Respond): Respond => {
  let count = 0;
  return (request) => {
    count += 1;
    (count % 2 === 0 ? respond : fault)(request);
  };
};

/** Probes of one that never answers; one that answers a probe is taken back until it fails again. */
const MAX_PROBES = 5;
const MAX_SENDS_AFTER_RETURN = 40;

const cases = Object.entries(faults).flatMap(
  ([name, fault]): (readonly [string, Respond, number])[] => [
    [`${name} to each request`, fault, MAX_PROBES],
    [`${name} to every second request`, alternate(fault), MAX_SENDS_AFTER_RETURN],
  ],
);

const idempotent = { idempotent: true, maxUpstreams: 3 };

/** Sends requests in a closed loop; gives their statuses and whether they began after the learning time. */
const sendRequests = async (call: () => Promise<{ readonly status: number }>) => {
  const startedAtMs = performance.now();
  const replies: { readonly status: number; readonly isLater: boolean }[] = [];
  const runCaller = async (): Promise<void> => {
    while (performance.now() - startedAtMs < RUN_MS) {
      const isLater = performance.now() - startedAtMs > LEARN_MS;
      const { status } = await call().catch(() => ({ status: 0 }));
      replies.push({ status, isLater });
    }
  };
  await Promise.all(Array.from({ length: CALLER_COUNT }, runCaller));
  return replies;
};

// Guards against an ejection policy that no upstream is ever registered with.
test.each(cases)('an upstream that answers with %s is ejected', async (_, fault, maxLaterSends) => {
  const sentAtMs: number[] = [];
  const startedAtMs = performance.now();
  const countAndFail: Respond = (request) => {
    sentAtMs.push(performance.now() - startedAtMs);
    fault(request);
  };
  const { call, fleetState } = await startGateway({
    route: idempotent,
    upstreams: [countAndFail, respond, respond],
  });
  let wasEjected = false;
  const callAndLook = async () => {
    const reply = await call();
    wasEjected ||= fleetState.ejection.getState(toId<UpstreamId>('up-0')) !== 'closed';
    return reply;
  };
  const replies = (await sendRequests(callAndLook)).filter(({ isLater }) => isLater);
  const failed = replies.filter(({ status }) => status !== 200);
  expect(failed.length).toBeLessThanOrEqual(replies.length / 100);
  expect(wasEjected).toBe(true);
  expect(sentAtMs.filter((atMs) => atMs > LEARN_MS).length).toBeLessThanOrEqual(maxLaterSends);
});

/** Counts the requests that each upstream is the first to get; up-0 fails and is not ejected. */
const countFirstSends = async (
  fault: Respond,
  buildHeaders: () => TestCall['headers'] = () => ({}),
): Promise<readonly number[]> => {
  const counts = [0, 0, 0];
  const seen = new Set<string>();
  const countAnd =
    (index: number, answer: Respond): Respond =>
    (request) => {
      if (!seen.has(request.id)) counts[index]! += 1;
      seen.add(request.id);
      answer(request);
    };
  const { call, fleetState } = await startGateway({
    route: { ...idempotent, carriesPrompt: true },
    upstreams: [fault, respond, respond].map((answer, index) => countAnd(index, answer)),
  });
  // As if half of a larger group were ejected already.
  fleetState.ejection.remove(toId<UpstreamId>('up-0'));
  await sendRequests(() => call({ headers: buildHeaders() ?? {} }));
  return counts;
};

// Guards against an upstream that gets more requests than sound ones because it fails them at once.
test.each(Object.entries(faults))(
  'an upstream that answers every second request with %s gets no more than its share',
  async (_, fault) => {
    const [failing = 0, ...sound] = await countFirstSends(alternate(fault));
    expect(failing).toBeGreaterThan(0);
    sound.forEach((count) => expect(failing).toBeLessThan(count));
  },
);

// Guards against the same for prompts, which are routed by queues and sessions.
test('an engine that fails every second prompt gets no more than its share', async () => {
  let sessions = 0;
  const [failing = 0, ...sound] = await countFirstSends(alternate(faults['an error']!), () => {
    sessions += 1;
    return { 'x-model': 'm', 'x-parts': `session-${sessions}` };
  });
  expect(failing).toBeGreaterThan(0);
  // Home engines of sessions are kept through small differences.
  sound.forEach((count) => expect(failing).toBeLessThan(1.25 * count));
});

/** A fleet whose ejections are counted, and the number of series of the gauge. */
const createCountedFleet = () => {
  const metrics = createGatewayMetrics(createMetricsRegistry());
  const vmId = toId<VmId>('vm-1');
  const fleetState = createFleetState(vmId, toId<AvailabilityZoneId>('z1'), {
    onEjectionChange: (change) => metrics.recordEjection(change),
  });
  const countSeries = async (): Promise<number> =>
    (await metrics.render())
      .split('\n')
      .filter((line) => line.startsWith('goldcrest_gateway_ejected_upstream{')).length;
  return { ...fleetState, countSeries };
};

const endings: Readonly<
  Record<string, (fleet: ReturnType<typeof createCountedFleet>, upstreamId: UpstreamId) => void>
> = {
  'is not listed any more': ({ registry }, upstreamId) =>
    registry.apply({ kind: 'absent', upstreamId }),
  'says that it leaves': ({ registry }, upstreamId) => registry.recordLeaving(upstreamId, 1),
  restarts: ({ registry }, upstreamId) =>
    registry.apply({
      kind: 'present',
      upstream: buildTestUpstream(upstreamId, { startedAtMs: 2 }),
    }),
};

// Guards against a gauge of ejected upstreams that grows with each one that comes and goes.
test.each(Object.entries(endings))(
  'the gauge drops an ejected upstream that %s',
  async (_, endBoot) => {
    const fleet = createCountedFleet();
    ['up-a', 'up-b', 'up-c', 'up-d'].forEach((name) =>
      fleet.registry.apply({ kind: 'present', upstream: buildTestUpstream(name) }),
    );
    for (let index = 0; index < 50; index += 1) {
      const upstreamId = toId<UpstreamId>(`up-${index}`);
      fleet.registry.apply({ kind: 'present', upstream: buildTestUpstream(upstreamId) });
      for (let count = 0; count < CONSECUTIVE_FAILURES_TO_OPEN; count += 1)
        fleet.ejection.recordOutcome(upstreamId, 'failure');
      expect(fleet.ejection.getState(upstreamId)).toBe('open');
      endBoot(fleet, upstreamId);
    }
    expect(await fleet.countSeries()).toBe(0);
  },
);
