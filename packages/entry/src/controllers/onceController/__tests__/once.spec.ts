import { MAX_STORED_ANSWER_BYTES, createOnceKey, toId, toLogOffset } from '@goldcrestscale/core';
import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { FAULTS, exploreFaults, runCase } from './exploreFaults.js';
import { EarlyDispatchGuard, MemoryOnceGuard } from './naiveGuards.js';
import { OnceWorld, settleIn } from './onceWorld.js';

/** VMs at which callers with one key begin: alone at either VM, and two at once. */
const ARRANGEMENTS = [[0], [1], [0, 1], [1, 1]];
const WINDOW = { windowMs: 12_000, clockAllowanceMs: 1_000 };
const RETENTION_MS = 14_500;

beforeEach(() => {
  vi.useFakeTimers({ now: 1_700_000_000_000 });
});
afterEach(() => {
  vi.useRealTimers();
});

const startWorld = async (...options: ConstructorParameters<typeof OnceWorld>) => {
  const world = new OnceWorld(...options);
  await vi.advanceTimersByTimeAsync(50);
  return world;
};

test('runs once and repeats the answer at any VM', async () => {
  const world = await startWorld();
  const key = createOnceKey(Date.now());
  const first = await settleIn(world.send(0, { key, ref: 'a' }));
  expect(first).toMatchObject({ verdict: 'ran', status: 201, body: 'ticket a' });
  const second = await settleIn(world.send(1, { key, ref: 'a' }));
  expect(second).toMatchObject({ verdict: 'ran', status: 201, body: 'ticket a' });
  expect(world.runs.get('a')).toBe(1);
  world.stop();
});

test('every fault at every step', async () => {
  const { cases, violations, answered } = await exploreFaults(ARRANGEMENTS);
  expect(violations).toEqual([]);
  expect(cases).toBeGreaterThanOrEqual(150);
  expect(answered / cases).toBeGreaterThan(0.8);
});

const arbitraryCase = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  callers: fc.array(fc.integer({ min: 0, max: 2 }), { minLength: 1, maxLength: 3 }),
  faults: fc.array(
    fc.record({ fault: fc.constantFrom(...FAULTS), step: fc.integer({ min: 0, max: 40 }) }),
    { minLength: 1, maxLength: 4 },
  ),
});

test('several faults together over three VMs', async () => {
  const property = fc.asyncProperty(arbitraryCase, async ({ seed, ...planned }) => {
    const { problems } = await runCase(planned, { vms: 3, jitterMs: 20, seed });
    expect(problems).toEqual([]);
  });
  await fc.assert(property, { seed: 1, numRuns: 300 });
});

test.each([
  ['keys in memory', () => new MemoryOnceGuard()],
  ['a dispatch before read-back', ({ world }) => new EarlyDispatchGuard(world.log)],
] satisfies [string, (vm: { world: OnceWorld }) => MemoryOnceGuard | EarlyDispatchGuard][])(
  'the same faults catch %s',
  async (_name, createGuard) => {
    const { violations } = await exploreFaults([[0], [0, 1]], { createGuard });
    expect(violations.join()).toContain('ran 2 times');
  },
);

test('log down is refused at once as not run', async () => {
  const world = await startWorld();
  world.logDown = true;
  const startedAtMs = Date.now();
  for (const vm of [0, 1, 0]) {
    const answer = await settleIn(world.send(vm, { key: createOnceKey(Date.now()), ref: 'a' }));
    expect(answer).toMatchObject({ verdict: 'not-run', code: 'log_unavailable', status: 503 });
    expect(answer.retryAfterMs).toBeGreaterThan(0);
  }
  expect(Date.now() - startedAtMs).toBeLessThanOrEqual(300);
  expect(world.runs.size).toBe(0);
  world.logDown = false;
  await vi.advanceTimersByTimeAsync(3_000);
  const key = createOnceKey(Date.now());
  expect(await settleIn(world.send(0, { key, ref: 'a' }))).toMatchObject({ verdict: 'ran' });
  world.stop();
});

test.each([
  ['another VM', 1, 0],
  ['the VM that served the shard', 0, 1],
])('claimant gone, %s, is told at once as may have run', async (_name, claimant, asker) => {
  const world = await startWorld();
  const key = createOnceKey(Date.now());
  const cut = world.send(claimant, { key, ref: 'a' });
  while (world.runs.size === 0) await vi.advanceTimersByTimeAsync(1);
  world.vms[claimant]?.kill();
  expect((await cut).verdict).toBe('none');
  const startedAtMs = Date.now();
  const answer = await settleIn(world.send(asker, { key, ref: 'a' }));
  expect(answer).toMatchObject({ verdict: 'may-have-run', code: 'outcome_unknown' });
  expect(Date.now() - startedAtMs).toBeLessThanOrEqual(200);
  expect(world.runs.get('a')).toBe(1);
  world.stop();
});

test('retry after retention is refused and never run', async () => {
  const world = await startWorld([], { window: WINDOW });
  const key = createOnceKey(Date.now());
  await settleIn(world.send(0, { key, ref: 'a' }));
  await vi.advanceTimersByTimeAsync(RETENTION_MS);
  world.log.trim(world.log.headOffset);
  world.vms.forEach((vm) => vm.kill());
  world.vmIds.forEach((vmId) => world.startVm(vmId));
  await vi.advanceTimersByTimeAsync(200);
  const answer = await settleIn(world.send(0, { key, ref: 'a' }));
  expect(answer).toMatchObject({ verdict: 'may-have-run', code: 'key_expired' });
  expect(world.runs.get('a')).toBe(1);
  world.stop();
});

test('claim of a VM that was paused over the retention never runs', async () => {
  for (let step = 0; step < 20; step += 1) {
    const world = await startWorld([{ fault: 'freeze', step }], { window: WINDOW });
    const key = createOnceKey(Date.now());
    const paused = world.send(0, { key, ref: 'a' });
    const other = await settleIn(world.send(1, { key, ref: 'a' }));
    await vi.advanceTimersByTimeAsync(RETENTION_MS);
    world.log.trimOlderThan(Date.now() - RETENTION_MS);
    const answer = await settleIn(paused);
    expect(world.runs.get('a') ?? 0).toBeLessThanOrEqual(1);
    const told = [answer.verdict, other.verdict];
    if (told.every((verdict) => verdict === 'not-run')) expect(world.runs.size).toBe(0);
    expect(world.lies).toEqual([]);
    world.stop();
  }
});

test('key belongs to one account and one body', async () => {
  const world = await startWorld();
  const key = createOnceKey(Date.now());
  await settleIn(world.send(0, { key, ref: 'a' }));
  const other = await settleIn(world.send(1, { key, ref: 'b', account: 'mill' }));
  expect(other).toMatchObject({ verdict: 'ran', body: 'ticket b' });
  const reused = await settleIn(world.send(1, { key, ref: 'c', body: 'other body' }));
  expect(reused).toMatchObject({ verdict: 'not-run', code: 'key_reused', status: 422 });
  expect([...world.runs]).toEqual([
    ['a', 1],
    ['b', 1],
  ]);
  world.stop();
});

test('time and form of a key', async () => {
  const world = await startWorld();
  const ahead = createOnceKey(Date.now() + 3_600_000);
  const old = createOnceKey(Date.now() - 7_200_000);
  const wrong = toId<typeof old>('order-17');
  const outcomes = [
    [ahead, 'key_in_future', 400, 'not-run'],
    [old, 'key_expired', 409, 'may-have-run'],
    [wrong, 'bad_request', 400, 'not-run'],
  ] as const;
  for (const [key, code, status, verdict] of outcomes) {
    const answer = await settleIn(world.send(0, { key }));
    expect(answer).toMatchObject({ code, status, verdict });
  }
  expect(world.runs.size).toBe(0);
  expect(await settleIn(world.send(0, { ref: 'keyless' }))).toMatchObject({ verdict: 'ran' });
  world.stop();
});

test('not-run dispatch frees the key and a lost answer holds it', async () => {
  const world = await startWorld();
  const key = createOnceKey(Date.now());
  world.serviceFault = 'resetBeforeRun';
  expect(await settleIn(world.send(0, { key, ref: 'a' }))).toMatchObject({ verdict: 'not-run' });
  world.serviceFault = 'loseAnswer';
  const lost = await settleIn(world.send(1, { key, ref: 'a' }));
  expect(lost).toMatchObject({ verdict: 'may-have-run' });
  world.serviceFault = 'none';
  const again = await settleIn(world.send(0, { key, ref: 'a' }));
  expect(again).toMatchObject({ verdict: 'may-have-run', code: 'outcome_unknown' });
  expect(world.runs.get('a')).toBe(1);
  world.stop();
});

test('split VMs serve the shard side by side', async () => {
  const world = await startWorld([], { vms: 3 });
  world.network.partition(...world.vmIds.map((vmId) => [vmId]));
  const key = createOnceKey(Date.now());
  await Promise.all(
    [0, 1, 2].map((vm) => settleIn(world.send(vm, { key: createOnceKey(Date.now()) }))),
  );
  await vi.advanceTimersByTimeAsync(100);
  const calls = [0, 1, 2].map((vm) => world.send(vm, { key, ref: 'a' }));
  const answers = await settleIn(Promise.all(calls));
  expect(world.runs.get('a')).toBe(1);
  expect(answers.map((answer) => answer.verdict).sort()).toEqual([
    'may-have-run',
    'may-have-run',
    'ran',
  ]);
  world.stop();
});

test('right to run lapses while the process is paused', async () => {
  const world = await startWorld();
  const guard = world.vms[0]?.controller.guard;
  const request = {
    accountId: toId<never>('yard'),
    key: createOnceKey(Date.now()),
    digest: 'digest' as never,
  };
  const never = new AbortController().signal;
  const claim = await settleIn(guard?.claim(request, never) ?? Promise.reject(new Error('none')));
  if (claim.type !== 'run') throw new Error('expected a permit');
  // No asynchronous code runs meanwhile, as in a stopped process.
  vi.advanceTimersByTime(60_000);
  expect(claim.permit.begin()).toBe(false);
  expect(claim.permit.begin()).toBe(false);
  await vi.advanceTimersByTimeAsync(1_000);
  const next = await settleIn(guard?.claim(request, never) ?? Promise.reject(new Error('none')));
  expect(next.type === 'run' && next.permit.begin()).toBe(true);
  world.stop();
});

test('answer too large to keep is not invented', async () => {
  const world = await startWorld();
  const key = createOnceKey(Date.now());
  const ref = 'x'.repeat(MAX_STORED_ANSWER_BYTES);
  await settleIn(world.send(0, { key, ref }));
  await vi.advanceTimersByTimeAsync(500);
  const repeat = await settleIn(world.send(0, { key, ref }));
  expect(repeat).toMatchObject({ verdict: 'ran', code: 'outcome_unknown', status: 409 });
  expect(world.log.headOffset).toBe(toLogOffset(2));
  world.stop();
});
