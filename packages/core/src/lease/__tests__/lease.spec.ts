import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { LogOffset } from '../../ids.js';
import { LogError, LogStream, MemoryLog } from '../../log/index.js';
import type { LogPage, LogReadOptions } from '../../log/index.js';
import { LEASE_DURATION_MS, LEASE_RENEW_INTERVAL_MS, LeaseKeeper } from '../index.js';
import type { LeaseHolder } from '../index.js';

/** A VM's way to the log, which may lose answers, be cut or be held up. */
class FaultyStream extends LogStream {
  isCut = false;

  losesAnswers = false;

  appendDelayMs = 0;

  constructor(private readonly log: MemoryLog) {
    super();
  }

  override async append(values: readonly unknown[]): Promise<LogOffset> {
    if (this.isCut) throw new LogError('cut', 'refused');
    if (this.appendDelayMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.appendDelayMs);
      });
    }
    const offset = await this.log.append(values);
    if (this.losesAnswers) throw new LogError('lost', 'unknown');
    return offset;
  }

  override read(from: LogOffset, options?: LogReadOptions): Promise<LogPage> {
    if (this.isCut) return Promise.reject(new LogError('cut', 'refused'));
    return this.log.read(from, options);
  }
}

let stop = new AbortController();

beforeEach(() => {
  vi.useFakeTimers();
  stop = new AbortController();
});

afterEach(() => {
  stop.abort();
  vi.useRealTimers();
});

const startKeeper = (log: MemoryLog, name: string, Keeper = LeaseKeeper) => {
  const stream = new FaultyStream(log);
  const self: LeaseHolder = { vmId: toId(name), bootId: toId(`${name}-1`) };
  const keeper = new Keeper(stream, self);
  keeper.follow(stop.signal).catch(() => undefined);
  const state = { isPaused: false };
  const run = async (): Promise<void> => {
    if (state.isPaused) return;
    await keeper.renew(stop.signal).catch(() => undefined);
  };
  const claim = async (): Promise<void> => {
    if (!state.isPaused) await keeper.claim(['r'], stop.signal).catch(() => undefined);
  };
  setInterval(run, LEASE_RENEW_INTERVAL_MS);
  setInterval(claim, 700);
  run().catch(() => undefined);
  return { keeper, stream, state, self };
};

test('one of two claimers holds, the other takes over after the duration', async () => {
  const log = new MemoryLog();
  const a = startKeeper(log, 'a');
  const b = startKeeper(log, 'b');
  await vi.advanceTimersByTimeAsync(3_000);
  expect([a, b].filter(({ keeper }) => keeper.findHeld('r'))).toHaveLength(1);
  const [holder, other] = a.keeper.findHeld('r') ? [a, b] : [b, a];
  const { epoch } = holder.keeper.findHeld('r') as { epoch: number };
  holder.stream.isCut = true;
  holder.state.isPaused = true;
  await vi.advanceTimersByTimeAsync(LEASE_DURATION_MS - 6_000);
  expect(other.keeper.findHeld('r')).toBeUndefined();
  await vi.advanceTimersByTimeAsync(8_000);
  expect(holder.keeper.findHeld('r')).toBeUndefined();
  expect(other.keeper.findHeld('r')?.epoch).toBeGreaterThan(epoch);
});

test('a release lets another take over at once', async () => {
  const log = new MemoryLog();
  const a = startKeeper(log, 'a');
  await vi.advanceTimersByTimeAsync(3_000);
  const b = startKeeper(log, 'b');
  await vi.advanceTimersByTimeAsync(3_000);
  expect(a.keeper.findHeld('r')).toBeDefined();
  a.state.isPaused = true;
  const released = a.keeper.release(['r'], stop.signal);
  expect(a.keeper.findHeld('r')).toBeUndefined();
  await released;
  await vi.advanceTimersByTimeAsync(3_000);
  expect(b.keeper.findHeld('r')).toBeDefined();
});

test('lost append answers and a trimmed log change nothing', async () => {
  const log = new MemoryLog();
  const a = startKeeper(log, 'a');
  a.stream.losesAnswers = true;
  await vi.advanceTimersByTimeAsync(12_000);
  expect(a.keeper.findHeld('r')).toBeDefined();
  log.trimOlderThan(Date.now() - 6_000);
  const b = startKeeper(log, 'b');
  await vi.advanceTimersByTimeAsync(60_000);
  expect(b.keeper.table.getOwner('r')).toEqual(a.keeper.table.getOwner('r'));
  expect(a.keeper.findHeld('r')).toBeDefined();
});

test('a suspended machine finds its lease gone although its monotonic clock stood still', async () => {
  const { keeper } = startKeeper(new MemoryLog(), 'a');
  await vi.advanceTimersByTimeAsync(3_000);
  expect(keeper.findHeld('r')).toBeDefined();
  vi.setSystemTime(Date.now() + LEASE_DURATION_MS);
  expect(keeper.findHeld('r')).toBeUndefined();
});

/** Counts from the moment of the read-back, and does not check the time before the act. */
class NaiveKeeper extends LeaseKeeper {
  override computeRemaining(): number {
    return this.isReady ? 1 : 0;
  }
}

interface Fault {
  index: number;
  kind: 'cut' | 'pause' | 'slow';
  atMs: number;
  forMs: number;
}

/** Runs three claimers through faults; gives the most holders seen at one moment. */
const countMostHolders = async (Keeper: typeof LeaseKeeper, faults: readonly Fault[]) => {
  const log = new MemoryLog();
  const nodes = ['a', 'b', 'c'].map((name) => startKeeper(log, name, Keeper));
  let most = 0;
  for (let nowMs = 0; nowMs < 90_000; nowMs += 250) {
    nodes.forEach(({ stream, state }, index) => {
      const active = faults.filter(
        (fault) => fault.index === index && nowMs >= fault.atMs && nowMs < fault.atMs + fault.forMs,
      );
      const target = { stream, state };
      target.stream.isCut = active.some((fault) => fault.kind === 'cut');
      target.state.isPaused = active.some((fault) => fault.kind === 'pause');
      target.stream.appendDelayMs = active.some((fault) => fault.kind === 'slow') ? 9_000 : 0;
    });
    await vi.advanceTimersByTimeAsync(250);
    most = Math.max(most, nodes.filter(({ keeper }) => keeper.findHeld('r')).length);
  }
  stop.abort();
  vi.clearAllTimers();
  stop = new AbortController();
  return most;
};

const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
  index: fc.integer({ min: 0, max: 2 }),
  kind: fc.constantFrom('cut', 'pause', 'slow'),
  atMs: fc.integer({ min: 0, max: 60_000 }),
  forMs: fc.integer({ min: 1_000, max: 40_000 }),
});

test('never two holders under any faults', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(faultArbitrary, { minLength: 1, maxLength: 8 }), async (faults) => {
      expect(await countMostHolders(LeaseKeeper, faults)).toBeLessThanOrEqual(1);
    }),
    { seed: 1, numRuns: 40 },
  );
});

test('the check catches a holder that does not look at the time', async () => {
  const faults: Fault[] = [0, 1, 2].map((index) => ({
    index,
    kind: 'cut',
    atMs: 5_000 + index * 20_000,
    forMs: 20_000,
  }));
  expect(await countMostHolders(NaiveKeeper, faults)).toBeGreaterThan(1);
});
