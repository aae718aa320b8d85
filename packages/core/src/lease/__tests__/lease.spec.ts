import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { LogOffset } from '../../ids.js';
import { LogError, LogStream, MemoryLog } from '../../log/index.js';
import type { LogPage, LogReadOptions } from '../../log/index.js';
import { LEASE_DURATION_MS, LEASE_RENEW_INTERVAL_MS, LeaseManager } from '../index.js';
import type { LeaseHolder } from '../index.js';

/** A VM's connection to the log, which can lose responses, be disconnected or be delayed. */
class FaultyStream extends LogStream {
  isDisconnected = false;

  failsAfterAppend = false;

  appendDelayMs = 0;

  constructor(private readonly log: MemoryLog) {
    super();
  }

  override async append(values: readonly unknown[]): Promise<LogOffset> {
    if (this.isDisconnected) throw new LogError('log disconnected', 'refused');
    if (this.appendDelayMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.appendDelayMs);
      });
    }
    const offset = await this.log.append(values);
    if (this.failsAfterAppend) throw new LogError('append response lost', 'unknown');
    return offset;
  }

  override read(from: LogOffset, options?: LogReadOptions): Promise<LogPage> {
    if (this.isDisconnected) return Promise.reject(new LogError('log disconnected', 'refused'));
    return this.log.read(from, options);
  }
}

let abortController = new AbortController();

beforeEach(() => {
  vi.useFakeTimers();
  abortController = new AbortController();
});

afterEach(() => {
  abortController.abort();
  vi.useRealTimers();
});

const startLeaseManager = (log: MemoryLog, name: string, Manager = LeaseManager) => {
  const stream = new FaultyStream(log);
  const self: LeaseHolder = { vmId: toId(name), bootId: toId(`${name}-1`) };
  const manager = new Manager(stream, self);
  manager.follow(abortController.signal).catch(() => undefined);
  const state = { isPaused: false };
  const run = async (): Promise<void> => {
    if (state.isPaused) return;
    await manager.renew(abortController.signal).catch(() => undefined);
  };
  const claim = async (): Promise<void> => {
    if (!state.isPaused) await manager.claim(['r'], abortController.signal).catch(() => undefined);
  };
  setInterval(run, LEASE_RENEW_INTERVAL_MS);
  setInterval(claim, 700);
  run().catch(() => undefined);
  return { manager, stream, state, self };
};

test('one of two claimants holds the lease, the other takes over after it expires', async () => {
  const log = new MemoryLog();
  const a = startLeaseManager(log, 'a');
  const b = startLeaseManager(log, 'b');
  await vi.advanceTimersByTimeAsync(3_000);
  expect([a, b].filter(({ manager }) => manager.findHeldLease('r'))).toHaveLength(1);
  const [holder, other] = a.manager.findHeldLease('r') ? [a, b] : [b, a];
  const { epoch } = holder.manager.findHeldLease('r') as { epoch: number };
  holder.stream.isDisconnected = true;
  holder.state.isPaused = true;
  await vi.advanceTimersByTimeAsync(LEASE_DURATION_MS - 6_000);
  expect(other.manager.findHeldLease('r')).toBeUndefined();
  await vi.advanceTimersByTimeAsync(8_000);
  expect(holder.manager.findHeldLease('r')).toBeUndefined();
  expect(other.manager.findHeldLease('r')?.epoch).toBeGreaterThan(epoch);
});

test('after a release another VM takes over without waiting for expiry', async () => {
  const log = new MemoryLog();
  const a = startLeaseManager(log, 'a');
  await vi.advanceTimersByTimeAsync(3_000);
  const b = startLeaseManager(log, 'b');
  await vi.advanceTimersByTimeAsync(3_000);
  expect(a.manager.findHeldLease('r')).toBeDefined();
  a.state.isPaused = true;
  const released = a.manager.release(['r'], abortController.signal);
  expect(a.manager.findHeldLease('r')).toBeUndefined();
  await released;
  await vi.advanceTimersByTimeAsync(3_000);
  expect(b.manager.findHeldLease('r')).toBeDefined();
});

test('lost append responses and a trimmed log do not change the owner', async () => {
  const log = new MemoryLog();
  const a = startLeaseManager(log, 'a');
  a.stream.failsAfterAppend = true;
  await vi.advanceTimersByTimeAsync(12_000);
  expect(a.manager.findHeldLease('r')).toBeDefined();
  log.trimOlderThan(Date.now() - 6_000);
  const b = startLeaseManager(log, 'b');
  await vi.advanceTimersByTimeAsync(60_000);
  expect(b.manager.table.getOwner('r')).toEqual(a.manager.table.getOwner('r'));
  expect(a.manager.findHeldLease('r')).toBeDefined();
});

test('a lease has expired after a suspend that stopped the monotonic clock', async () => {
  const { manager } = startLeaseManager(new MemoryLog(), 'a');
  await vi.advanceTimersByTimeAsync(3_000);
  expect(manager.findHeldLease('r')).toBeDefined();
  vi.setSystemTime(Date.now() + LEASE_DURATION_MS);
  expect(manager.findHeldLease('r')).toBeUndefined();
});

/** Faulty manager that treats its leases as valid without checking the elapsed time. */
class UncheckedLeaseManager extends LeaseManager {
  override computeRemainingMs(): number {
    return this.isReady ? 1 : 0;
  }
}

interface Fault {
  nodeIndex: number;
  kind: 'disconnect' | 'pause' | 'slow';
  startMs: number;
  durationMs: number;
}

/** Runs three claimants through faults; returns the maximum number of simultaneous holders. */
const countMaxHolders = async (Manager: typeof LeaseManager, faults: readonly Fault[]) => {
  const log = new MemoryLog();
  const nodes = ['a', 'b', 'c'].map((name) => startLeaseManager(log, name, Manager));
  let maxHolders = 0;
  for (let elapsedMs = 0; elapsedMs < 90_000; elapsedMs += 250) {
    nodes.forEach(({ stream, state }, index) => {
      const active = faults.filter(
        (fault) =>
          fault.nodeIndex === index &&
          elapsedMs >= fault.startMs &&
          elapsedMs < fault.startMs + fault.durationMs,
      );
      const target = { stream, state };
      target.stream.isDisconnected = active.some((fault) => fault.kind === 'disconnect');
      target.state.isPaused = active.some((fault) => fault.kind === 'pause');
      target.stream.appendDelayMs = active.some((fault) => fault.kind === 'slow') ? 9_000 : 0;
    });
    await vi.advanceTimersByTimeAsync(250);
    maxHolders = Math.max(
      maxHolders,
      nodes.filter(({ manager }) => manager.findHeldLease('r')).length,
    );
  }
  abortController.abort();
  vi.clearAllTimers();
  abortController = new AbortController();
  return maxHolders;
};

const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
  nodeIndex: fc.integer({ min: 0, max: 2 }),
  kind: fc.constantFrom('disconnect', 'pause', 'slow'),
  startMs: fc.integer({ min: 0, max: 60_000 }),
  durationMs: fc.integer({ min: 1_000, max: 40_000 }),
});

test('there are never two simultaneous holders under any faults', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(faultArbitrary, { minLength: 1, maxLength: 8 }), async (faults) => {
      expect(await countMaxHolders(LeaseManager, faults)).toBeLessThanOrEqual(1);
    }),
    { seed: 1, numRuns: 40 },
  );
});

test('the check detects a holder that does not check the elapsed time', async () => {
  const faults: Fault[] = [0, 1, 2].map((index) => ({
    nodeIndex: index,
    kind: 'disconnect',
    startMs: 5_000 + index * 20_000,
    durationMs: 20_000,
  }));
  expect(await countMaxHolders(UncheckedLeaseManager, faults)).toBeGreaterThan(1);
});
