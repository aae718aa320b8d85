import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import fc from 'fast-check';
import { ConditionalLease, FIRST_STREAM_ERA, LeaseStream } from '../index.js';
import type { LeaseStreamPosition, LeaseStreamTail } from '../index.js';

const DURATION_MS = 3_000;
const MARGIN_MS = 400;

/** An in-memory lease stream; an append may succeed while its response is lost. */
class InMemoryLeaseStream extends LeaseStream {
  readonly holders: string[] = [];

  failsAfterAppend = false;

  era = FIRST_STREAM_ERA;

  /** Comes back from a copy that lacks the newest records. */
  loseNewest(count: number): void {
    this.holders.splice(Math.max(0, this.holders.length - count));
    this.era += 1;
  }

  override async read(): Promise<LeaseStreamTail> {
    return { holder: this.holders.at(-1), endOffset: this.holders.length, era: this.era };
  }

  override async appendAt(end: number, holder: string): Promise<LeaseStreamPosition | undefined> {
    if (end !== this.holders.length) return undefined;
    this.holders.push(holder);
    if (this.failsAfterAppend) throw new Error('append response lost');
    return { offset: end, era: this.era };
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

test('only one of two concurrent candidates acquires the lease', async () => {
  const stream = new InMemoryLeaseStream();
  const leases = [createLease(stream, 'a'), createLease(stream, 'b')];
  const grants = await Promise.all(leases.map((lease) => lease.acquire(signal)));
  expect(grants.filter((hold) => hold !== undefined)).toHaveLength(1);
});

test('a candidate waits until the newest record has been unchanged for longer than the lease', async () => {
  const stream = new InMemoryLeaseStream();
  const first = createLease(stream, 'a');
  const second = createLease(stream, 'b');
  expect((await first.acquire(signal))?.fencingToken).toBe(1);
  await second.watch(signal);
  vi.advanceTimersByTime(DURATION_MS);
  expect(first.currentGrant).toBeUndefined();
  expect(await second.acquire(signal)).toBeUndefined();
  vi.advanceTimersByTime(MARGIN_MS + 100);
  expect((await second.acquire(signal))?.fencingToken).toBe(2);
});

test('a renewing holder excludes other candidates and its fencing token increases', async () => {
  const stream = new InMemoryLeaseStream();
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

test('a grant has expired when the machine resumes after its end', async () => {
  const lease = createLease(new InMemoryLeaseStream(), 'a');
  await lease.acquire(signal);
  expect(lease.currentGrant).toBeDefined();
  // The wall clock advances while the machine is suspended; the monotonic clock does not.
  vi.setSystemTime(Date.now() + DURATION_MS);
  expect(lease.currentGrant).toBeUndefined();
});

test('an append whose response is lost gives no grant, and the next append follows it', async () => {
  const stream = new InMemoryLeaseStream();
  stream.failsAfterAppend = true;
  const lease = createLease(stream, 'a');
  await expect(lease.acquire(signal)).rejects.toThrow('response lost');
  expect(lease.currentGrant).toBeUndefined();
  stream.failsAfterAppend = false;
  expect((await lease.acquire(signal))?.fencingToken).toBe(2);
});

test('the lease duration is counted from before the append was sent', async () => {
  const stream = new InMemoryLeaseStream();
  const append = stream.appendAt.bind(stream);
  vi.spyOn(stream, 'appendAt').mockImplementation(async (end, holder) => {
    vi.advanceTimersByTime(DURATION_MS);
    return append(end, holder);
  });
  expect(await createLease(stream, 'a').acquire(signal)).toBeUndefined();
});

test('a holder keeps its lease if the copy lacks its record, and its fencing token increases', async () => {
  const stream = new InMemoryLeaseStream();
  const [first, second] = [createLease(stream, 'a'), createLease(stream, 'b')];
  const before = await first.acquire(signal);
  stream.loseNewest(1);
  expect(await second.acquire(signal)).toBeUndefined();
  vi.advanceTimersByTime(1_000);
  const after = await first.acquire(signal);
  expect(after?.fencingToken).toBeGreaterThan(before!.fencingToken);
  expect(await second.acquire(signal)).toBeUndefined();
});

test('nobody relies on a record of an earlier era', async () => {
  const stream = new InMemoryLeaseStream();
  const [first, second] = [createLease(stream, 'a'), createLease(stream, 'b')];
  await first.acquire(signal);
  await second.watch(signal);
  vi.advanceTimersByTime(DURATION_MS + MARGIN_MS + 100);
  expect(await second.acquire(signal)).toBeDefined();
  // The copy names the first holder again, while the second one's grant is valid.
  stream.loseNewest(1);
  expect(await first.acquire(signal)).toBeUndefined();
  vi.advanceTimersByTime(DURATION_MS + MARGIN_MS + 100);
  expect(await first.acquire(signal)).toBeDefined();
});

test('copies that lack records never lead to two valid grants or to a lower fencing token', async () => {
  const step = fc.record({
    candidate: fc.nat(2),
    elapsedMs: fc.nat(2_500),
    lost: fc.option(fc.nat(4), { freq: 5 }),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 60 }), async (steps) => {
      const stream = new InMemoryLeaseStream();
      const leases = ['a', 'b', 'c'].map((holder) => createLease(stream, holder));
      let highestToken = 0;
      for (const { candidate, elapsedMs, lost } of steps) {
        vi.advanceTimersByTime(elapsedMs);
        if (lost !== null) stream.loseNewest(lost);
        const lease = leases[candidate]!;
        const before = lease.currentGrant?.fencingToken;
        const grant = await lease.acquire(signal);
        if (grant && grant.fencingToken !== before) {
          expect(grant.fencingToken).toBeGreaterThan(highestToken);
          highestToken = grant.fencingToken;
        }
        expect(leases.filter(({ currentGrant }) => currentGrant)).toHaveProperty(
          'length',
          leases.some(({ currentGrant }) => currentGrant) ? 1 : 0,
        );
      }
    }),
    { numRuns: 200 },
  );
});
