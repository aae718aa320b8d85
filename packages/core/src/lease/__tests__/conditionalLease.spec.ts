import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { ConditionalLease, LeaseStream } from '../index.js';
import type { LeaseReading } from '../index.js';

const DURATION_MS = 3_000;
const MARGIN_MS = 400;

/** A stream in memory; appends can be lost or answered without being done. */
class MemoryStream extends LeaseStream {
  readonly holders: string[] = [];

  loseAnswers = false;

  override async read(): Promise<LeaseReading> {
    return { holder: this.holders.at(-1), end: this.holders.length };
  }

  override async appendAt(end: number, holder: string): Promise<number | undefined> {
    if (end !== this.holders.length) return undefined;
    this.holders.push(holder);
    if (this.loseAnswers) throw new Error('the answer is lost');
    return end;
  }
}

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const { signal } = new AbortController();

const createLease = (stream: LeaseStream, holder: string) =>
  new ConditionalLease({ holder, stream, durationMs: DURATION_MS, marginMs: MARGIN_MS });

test('one of two that race for it holds the lease', async () => {
  const stream = new MemoryStream();
  const leases = [createLease(stream, 'a'), createLease(stream, 'b')];
  const holds = await Promise.all(leases.map((lease) => lease.acquire(signal)));
  expect(holds.filter((hold) => hold !== undefined)).toHaveLength(1);
});

test('another one waits until it has seen the same record for longer than the lease', async () => {
  const stream = new MemoryStream();
  const first = createLease(stream, 'a');
  const second = createLease(stream, 'b');
  expect((await first.acquire(signal))?.fencingToken).toBe(1);
  await second.watch(signal);
  vi.advanceTimersByTime(DURATION_MS);
  expect(first.held).toBeUndefined();
  expect(await second.acquire(signal)).toBeUndefined();
  vi.advanceTimersByTime(MARGIN_MS + 100);
  expect((await second.acquire(signal))?.fencingToken).toBe(2);
});

test('a holder that renews keeps the others out and its token grows', async () => {
  const stream = new MemoryStream();
  const first = createLease(stream, 'a');
  const second = createLease(stream, 'b');
  let token = 0;
  for (let step = 0; step < 10; step += 1) {
    const hold = await first.acquire(signal);
    expect(hold?.fencingToken).toBeGreaterThan(token);
    token = hold!.fencingToken;
    expect(await second.acquire(signal)).toBeUndefined();
    vi.advanceTimersByTime(1_500);
  }
});

test('a hold that was paused past its end is over when it wakes', async () => {
  const lease = createLease(new MemoryStream(), 'a');
  await lease.acquire(signal);
  expect(lease.held).toBeDefined();
  // The wall clock goes on while the machine is suspended; the monotonic one stands still.
  vi.setSystemTime(Date.now() + DURATION_MS);
  expect(lease.held).toBeUndefined();
});

test('an append whose answer is lost gives no hold, and the next one goes on from it', async () => {
  const stream = new MemoryStream();
  stream.loseAnswers = true;
  const lease = createLease(stream, 'a');
  await expect(lease.acquire(signal)).rejects.toThrow('lost');
  expect(lease.held).toBeUndefined();
  stream.loseAnswers = false;
  expect((await lease.acquire(signal))?.fencingToken).toBe(2);
});

test('a hold is counted from before its append was sent', async () => {
  const stream = new MemoryStream();
  const append = stream.appendAt.bind(stream);
  vi.spyOn(stream, 'appendAt').mockImplementation(async (end, holder) => {
    vi.advanceTimersByTime(DURATION_MS);
    return append(end, holder);
  });
  expect(await createLease(stream, 'a').acquire(signal)).toBeUndefined();
});
