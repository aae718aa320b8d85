import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { CallerTimes } from '../callerTimes.js';
import { computeOutageRetryAfterMs } from '../outageRetryAfter.js';
import { ReturnLedger } from '../returnLedger.js';

beforeEach(() => {
  vi.useFakeTimers({ now: 1_000_000 });
});

afterEach(() => {
  vi.useRealTimers();
});

// With the estimate alone, all of these would return in the same moment.
test('callers that are refused together return one after the other, newest last', () => {
  const ledger = new ReturnLedger();
  const delays = Array.from({ length: 5 }, () =>
    ledger.schedule({ waitMs: 400, fillMs: 30, leftMs: 9_000 }),
  );
  expect(delays).toEqual([400, 430, 460, 490, 520]);
});

test('who cannot return so late is told so and takes no place in the order', () => {
  const ledger = new ReturnLedger();
  expect(ledger.schedule({ waitMs: 1_500, fillMs: 100, leftMs: 3_000 })).toBe(1_500);
  expect(ledger.size).toBe(0);
  expect(ledger.schedule({ waitMs: 500, fillMs: 100, leftMs: 3_000 })).toBe(500);
  expect(ledger.size).toBe(1);
});

test('returns that lie in the past are forgotten', () => {
  const ledger = new ReturnLedger();
  for (let count = 0; count < 3; count += 1)
    ledger.schedule({ waitMs: 400, fillMs: 30, leftMs: 9_000 });
  vi.advanceTimersByTime(440);
  expect(ledger.size).toBe(1);
  vi.advanceTimersByTime(60);
  expect(ledger.schedule({ waitMs: 200, fillMs: 30, leftMs: 9_000 })).toBe(200);
});

test('the order of returns is bounded', () => {
  const ledger = new ReturnLedger();
  for (let count = 0; count < 5_000; count += 1) {
    ledger.schedule({ waitMs: 400, fillMs: 0.1, leftMs: 90_000 });
  }
  expect(ledger.size).toBe(1_000);
});

test('a return is known by the time that its caller has used up', () => {
  const ledger = new ReturnLedger();
  const callers = new CallerTimes();
  expect(callers.estimateSpentMs('route', 12_000)).toBe(0);
  expect(ledger.isReturn(callers.estimateSpentMs('route', 11_200))).toBe(false);
  ledger.schedule({ waitMs: 600, fillMs: 30, leftMs: 11_200 });
  expect(ledger.isReturn(callers.estimateSpentMs('route', 11_990))).toBe(false);
  expect(ledger.isReturn(callers.estimateSpentMs('route', 11_300))).toBe(true);
  vi.advanceTimersByTime(11_000);
  expect(ledger.isReturn(700)).toBe(false);
});

// A constant of half a second would bring all callers back while the outage lasts.
test('in an outage, return times grow, are spread, and end with what the caller will wait', () => {
  const ask = (outageMs: number | undefined, leftMs: number | undefined, random: number): number =>
    computeOutageRetryAfterMs({ outageMs, leftMs, random });
  expect(ask(undefined, 12_000, 0.9)).toBe(500);
  expect(ask(200, 12_000, 0.5)).toBe(1_700);
  expect(ask(2_000, 12_000, 0.5)).toBeGreaterThan(3_000);
  expect(ask(2_000, 12_000, 0.1)).toBeLessThan(ask(2_000, 12_000, 0.9));
  expect(ask(900_000, undefined, 0.99)).toBeLessThanOrEqual(12_500);
  [0, 0.5, 0.99].forEach((random) => expect(ask(5_000, 3_000, random)).toBeLessThanOrEqual(1_000));
  expect(ask(5_000, 3_000, 0)).toBeGreaterThanOrEqual(500);
});
