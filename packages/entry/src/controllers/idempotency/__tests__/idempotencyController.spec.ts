import {
  MAX_STORED_RESPONSE_BYTES,
  createIdempotencyKey,
  toId,
  toLogOffset,
} from '@goldcrestscale/core';
import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { FAULTS, exploreFaults, runCase } from './exploreFaults.js';
import { EarlyDispatchGuard, InMemoryGuard } from './naiveGuards.js';
import { SimulatedFleet, advanceUntilSettled } from './simulatedFleet.js';

/** VMs at which clients with the same key start: one client at either VM, and two at once. */
const ARRANGEMENTS = [[0], [1], [0, 1], [1, 1]];
const WINDOW = { windowMs: 12_000, maxClockSkewMs: 1_000 };
const RETENTION_MS = 14_500;

beforeEach(() => {
  vi.useFakeTimers({ now: 1_700_000_000_000 });
});
afterEach(() => {
  vi.useRealTimers();
});

const startFleet = async (...options: ConstructorParameters<typeof SimulatedFleet>) => {
  const fleet = new SimulatedFleet(...options);
  await vi.advanceTimersByTimeAsync(50);
  return fleet;
};

test('runs once and replays the response at any VM', async () => {
  const fleet = await startFleet();
  const key = createIdempotencyKey(Date.now());
  const first = await advanceUntilSettled(fleet.send(0, { key, ref: 'a' }));
  expect(first).toMatchObject({ verdict: 'ran', status: 201, body: 'ticket a' });
  const second = await advanceUntilSettled(fleet.send(1, { key, ref: 'a' }));
  expect(second).toMatchObject({ verdict: 'ran', status: 201, body: 'ticket a' });
  expect(fleet.runCounts.get('a')).toBe(1);
  fleet.stop();
});

test('runs at most once with any fault at any step', async () => {
  const { cases, violations, answeredCases } = await exploreFaults(ARRANGEMENTS);
  expect(violations).toEqual([]);
  expect(cases).toBeGreaterThanOrEqual(150);
  expect(answeredCases / cases).toBeGreaterThan(0.8);
});

const arbitraryCase = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  clientVms: fc.array(fc.integer({ min: 0, max: 2 }), { minLength: 1, maxLength: 3 }),
  faults: fc.array(
    fc.record({ fault: fc.constantFrom(...FAULTS), step: fc.integer({ min: 0, max: 40 }) }),
    { minLength: 1, maxLength: 4 },
  ),
});

test('runs at most once with several faults over three VMs', async () => {
  const property = fc.asyncProperty(arbitraryCase, async ({ seed, ...planned }) => {
    const { violations } = await runCase(planned, { vmCount: 3, jitterMs: 20, seed });
    expect(violations).toEqual([]);
  });
  await fc.assert(property, { seed: 1, numRuns: 300 });
});

test.each([
  ['keys kept in memory', () => new InMemoryGuard()],
  ['dispatch before the claim is read back', ({ fleet }) => new EarlyDispatchGuard(fleet.log)],
] satisfies [string, (vm: { fleet: SimulatedFleet }) => InMemoryGuard | EarlyDispatchGuard][])(
  'the same faults detect a faulty guard: %s',
  async (_name, createGuard) => {
    const { violations } = await exploreFaults([[0], [0, 1]], { createGuard });
    expect(violations.join()).toContain('ran 2 times');
  },
);

test('while the log is down, requests are refused at once as not-run', async () => {
  const fleet = await startFleet();
  fleet.isLogDown = true;
  const startedAtMs = Date.now();
  for (const vm of [0, 1, 0]) {
    const response = await advanceUntilSettled(
      fleet.send(vm, { key: createIdempotencyKey(Date.now()), ref: 'a' }),
    );
    expect(response).toMatchObject({ verdict: 'not-run', code: 'log_unavailable', status: 503 });
    expect(response.retryAfterMs).toBeGreaterThan(0);
  }
  expect(Date.now() - startedAtMs).toBeLessThanOrEqual(300);
  expect(fleet.runCounts.size).toBe(0);
  fleet.isLogDown = false;
  await vi.advanceTimersByTimeAsync(3_000);
  const key = createIdempotencyKey(Date.now());
  expect(await advanceUntilSettled(fleet.send(0, { key, ref: 'a' }))).toMatchObject({
    verdict: 'ran',
  });
  fleet.stop();
});

test.each([
  ['another VM', 1, 0],
  ['the VM that served the shard', 0, 1],
])(
  'retry after the claim holder was killed, %s, gets may-have-run at once',
  async (_name, claimantIndex, retryIndex) => {
    const fleet = await startFleet();
    const key = createIdempotencyKey(Date.now());
    const interrupted = fleet.send(claimantIndex, { key, ref: 'a' });
    while (fleet.runCounts.size === 0) await vi.advanceTimersByTimeAsync(1);
    fleet.vms[claimantIndex]?.kill();
    expect((await interrupted).verdict).toBe('none');
    const startedAtMs = Date.now();
    const response = await advanceUntilSettled(fleet.send(retryIndex, { key, ref: 'a' }));
    expect(response).toMatchObject({ verdict: 'may-have-run', code: 'outcome_unknown' });
    expect(Date.now() - startedAtMs).toBeLessThanOrEqual(200);
    expect(fleet.runCounts.get('a')).toBe(1);
    fleet.stop();
  },
);

test('retry after the retention is rejected and not run', async () => {
  const fleet = await startFleet([], { window: WINDOW });
  const key = createIdempotencyKey(Date.now());
  await advanceUntilSettled(fleet.send(0, { key, ref: 'a' }));
  await vi.advanceTimersByTimeAsync(RETENTION_MS);
  fleet.log.trim(fleet.log.headOffset);
  fleet.vms.forEach((vm) => vm.kill());
  fleet.vmIds.forEach((vmId) => fleet.startVm(vmId));
  await vi.advanceTimersByTimeAsync(200);
  const response = await advanceUntilSettled(fleet.send(0, { key, ref: 'a' }));
  expect(response).toMatchObject({ verdict: 'may-have-run', code: 'key_expired' });
  expect(fleet.runCounts.get('a')).toBe(1);
  fleet.stop();
});

test('claim of a VM paused for longer than the retention does not run', async () => {
  for (let step = 0; step < 20; step += 1) {
    const fleet = await startFleet([{ fault: 'pause', step }], { window: WINDOW });
    const key = createIdempotencyKey(Date.now());
    const paused = fleet.send(0, { key, ref: 'a' });
    const other = await advanceUntilSettled(fleet.send(1, { key, ref: 'a' }));
    await vi.advanceTimersByTimeAsync(RETENTION_MS);
    fleet.log.trimOlderThan(Date.now() - RETENTION_MS);
    const response = await advanceUntilSettled(paused);
    expect(fleet.runCounts.get('a') ?? 0).toBeLessThanOrEqual(1);
    const verdicts = [response.verdict, other.verdict];
    if (verdicts.every((verdict) => verdict === 'not-run')) expect(fleet.runCounts.size).toBe(0);
    expect(fleet.falseNotRunRefs).toEqual([]);
    fleet.stop();
  }
});

test('key is scoped to one account and one body', async () => {
  const fleet = await startFleet();
  const key = createIdempotencyKey(Date.now());
  await advanceUntilSettled(fleet.send(0, { key, ref: 'a' }));
  const other = await advanceUntilSettled(fleet.send(1, { key, ref: 'b', account: 'account-b' }));
  expect(other).toMatchObject({ verdict: 'ran', body: 'ticket b' });
  const reused = await advanceUntilSettled(fleet.send(1, { key, ref: 'c', body: 'other body' }));
  expect(reused).toMatchObject({ verdict: 'not-run', code: 'key_reused', status: 422 });
  expect([...fleet.runCounts]).toEqual([
    ['a', 1],
    ['b', 1],
  ]);
  fleet.stop();
});

test('timestamp and format of a key are validated', async () => {
  const fleet = await startFleet();
  const ahead = createIdempotencyKey(Date.now() + 3_600_000);
  const old = createIdempotencyKey(Date.now() - 7_200_000);
  const wrong = toId<typeof old>('order-17');
  const outcomes = [
    [ahead, 'key_in_future', 400, 'not-run'],
    [old, 'key_expired', 409, 'may-have-run'],
    [wrong, 'bad_request', 400, 'not-run'],
  ] as const;
  for (const [key, code, status, verdict] of outcomes) {
    const response = await advanceUntilSettled(fleet.send(0, { key }));
    expect(response).toMatchObject({ code, status, verdict });
  }
  expect(fleet.runCounts.size).toBe(0);
  expect(await advanceUntilSettled(fleet.send(0, { ref: 'keyless' }))).toMatchObject({
    verdict: 'ran',
  });
  fleet.stop();
});

test('not-run dispatch releases the key, and a lost response keeps it claimed', async () => {
  const fleet = await startFleet();
  const key = createIdempotencyKey(Date.now());
  fleet.serviceFault = 'resetBeforeRun';
  expect(await advanceUntilSettled(fleet.send(0, { key, ref: 'a' }))).toMatchObject({
    verdict: 'not-run',
  });
  fleet.serviceFault = 'loseResponse';
  const lost = await advanceUntilSettled(fleet.send(1, { key, ref: 'a' }));
  expect(lost).toMatchObject({ verdict: 'may-have-run' });
  fleet.serviceFault = 'none';
  const again = await advanceUntilSettled(fleet.send(0, { key, ref: 'a' }));
  expect(again).toMatchObject({ verdict: 'may-have-run', code: 'outcome_unknown' });
  expect(fleet.runCounts.get('a')).toBe(1);
  fleet.stop();
});

test('partitioned VMs serve the same shard concurrently', async () => {
  const fleet = await startFleet([], { vmCount: 3 });
  fleet.network.partition(...fleet.vmIds.map((vmId) => [vmId]));
  const key = createIdempotencyKey(Date.now());
  await Promise.all(
    [0, 1, 2].map((vm) =>
      advanceUntilSettled(fleet.send(vm, { key: createIdempotencyKey(Date.now()) })),
    ),
  );
  await vi.advanceTimersByTimeAsync(100);
  const calls = [0, 1, 2].map((vm) => fleet.send(vm, { key, ref: 'a' }));
  const responses = await advanceUntilSettled(Promise.all(calls));
  expect(fleet.runCounts.get('a')).toBe(1);
  expect(responses.map((response) => response.verdict).sort()).toEqual([
    'may-have-run',
    'may-have-run',
    'ran',
  ]);
  fleet.stop();
});

test('permit expires while the process is paused', async () => {
  const fleet = await startFleet();
  const guard = fleet.vms[0]?.controller.guard;
  const request = {
    accountId: toId<never>('account-a'),
    key: createIdempotencyKey(Date.now()),
    digest: 'digest' as never,
  };
  const never = new AbortController().signal;
  const claim = await advanceUntilSettled(
    guard?.claim(request, never) ?? Promise.reject(new Error('none')),
  );
  if (claim.type !== 'run') throw new Error('expected a permit');
  // Advances synchronously, so that no asynchronous code runs, as in a paused process.
  vi.advanceTimersByTime(60_000);
  expect(claim.permit.begin()).toBe(false);
  expect(claim.permit.begin()).toBe(false);
  await vi.advanceTimersByTimeAsync(1_000);
  const next = await advanceUntilSettled(
    guard?.claim(request, never) ?? Promise.reject(new Error('none')),
  );
  expect(next.type === 'run' && next.permit.begin()).toBe(true);
  fleet.stop();
});

test('response too large to store is not replayed', async () => {
  const fleet = await startFleet();
  const key = createIdempotencyKey(Date.now());
  const ref = 'x'.repeat(MAX_STORED_RESPONSE_BYTES);
  await advanceUntilSettled(fleet.send(0, { key, ref }));
  await vi.advanceTimersByTimeAsync(500);
  const repeat = await advanceUntilSettled(fleet.send(0, { key, ref }));
  expect(repeat).toMatchObject({ verdict: 'ran', code: 'outcome_unknown', status: 409 });
  expect(fleet.log.headOffset).toBe(toLogOffset(2));
  fleet.stop();
});
