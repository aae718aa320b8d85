import { xorshift128plus } from 'pure-rand/generator/xorshift128plus';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { LogError, MemoryLog, createAppendBudget, createBackoff } from '../index.js';
import { createBatchingAppender } from '../batchingAppender.js';
import { toLogOffset } from '../../ids.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const createSlowLog = (delayMs: number) => {
  const log = new MemoryLog();
  const append = log.append.bind(log);
  const spy = vi.spyOn(log, 'append').mockImplementation(async (values) => {
    const first = await append(values);
    await new Promise((resolve) => {
      setTimeout(resolve, delayMs);
    });
    return first;
  });
  return { log, spy };
};

test('a single record is appended immediately', async () => {
  const { log } = createSlowLog(0);
  createBatchingAppender({ stream: log, priority: 'once' }).append('a');
  await Promise.resolve();
  expect(log.headOffset).toBe(1);
});

test('under load, records are batched and keep their order', async () => {
  const { log, spy } = createSlowLog(5);
  const appender = createBatchingAppender({ stream: log, priority: 'once' });
  const offsets: Promise<number>[] = [];
  for (let index = 0; index < 1000; index += 1) {
    offsets.push(appender.append(index, { deferrable: index % 2 === 0 }));
    await vi.advanceTimersByTimeAsync(1);
  }
  await vi.advanceTimersByTimeAsync(300);
  expect(await Promise.all(offsets)).toEqual(offsets.map((_, index) => index));
  expect(spy.mock.calls.length).toBeLessThanOrEqual(50);
});

test('an unknown outcome is propagated and a refusal makes subsequent appends fail fast', async () => {
  const { log, spy } = createSlowLog(1);
  const appender = createBatchingAppender({ stream: log, priority: 'once' });
  spy.mockRejectedValueOnce(new LogError('connection lost', 'unknown'));
  await expect(appender.append('a')).rejects.toMatchObject({ failure: 'unknown' });
  spy.mockRejectedValueOnce(new LogError('too many requests', 'refused'));
  const refused = expect(appender.append('b')).rejects.toMatchObject({ failure: 'refused' });
  await vi.advanceTimersByTimeAsync(1);
  await refused;
  spy.mockClear();
  await expect(appender.append('c')).rejects.toMatchObject({ failure: 'refused' });
  expect(spy).not.toHaveBeenCalled();
  await vi.advanceTimersByTimeAsync(2000);
  const last = appender.append('d');
  await vi.advanceTimersByTimeAsync(50);
  expect(await last).toBe(toLogOffset(0));
});

test('a closed appender rejects queued and new records', async () => {
  const controller = new AbortController();
  const { log } = createSlowLog(5);
  const { signal } = controller;
  const appender = createBatchingAppender({ stream: log, priority: 'once', signal });
  const waiting = expect(appender.append('a', { deferrable: true })).rejects.toThrow('closed');
  controller.abort();
  await waiting;
  await expect(appender.append('b')).rejects.toMatchObject({ failure: 'refused' });
});

test('lower-priority appends are limited first', () => {
  const budget = createAppendBudget(100);
  const taken = (['observation', 'snapshot', 'once', 'lease', 'table'] as const).map((priority) => {
    let count = 0;
    while (budget.tryTake(priority)) count += 1;
    return count;
  });
  expect(taken).toEqual([30, 20, 20, 20, 10]);
  expect(budget.getWaitMs('table')).toBeLessThan(budget.getWaitMs('once'));
  vi.advanceTimersByTime(10);
  expect(budget.tryTake('observation')).toBe(false);
  expect(budget.tryTake('table')).toBe(true);
});

test('an exhausted budget rejects a record after the maximum wait', async () => {
  const { log } = createSlowLog(0);
  const budget = createAppendBudget(0.1);
  const appender = createBatchingAppender({ stream: log, priority: 'once', budget });
  const first = appender.append('a');
  await vi.advanceTimersByTimeAsync(1);
  expect(await first).toBe(0);
  const refused = expect(appender.append('b')).rejects.toThrow('the append budget is used up');
  await vi.advanceTimersByTimeAsync(2000);
  await refused;
});

test('backoff delays grow with jitter and restart after a reset', () => {
  const options = { initialMs: 100, maxMs: 1000, generator: xorshift128plus(1) };
  const backoff = createBackoff(options);
  const delays = [1, 2, 3, 4, 5, 6].map(() => backoff.nextDelayMs());
  delays.forEach((delay, index) => {
    const ceiling = Math.min(1000, 100 * 2 ** index);
    expect(delay).toBeGreaterThanOrEqual(ceiling / 2);
    expect(delay).toBeLessThanOrEqual(ceiling);
  });
  backoff.reset();
  expect(backoff.nextDelayMs()).toBeLessThanOrEqual(100);
});
