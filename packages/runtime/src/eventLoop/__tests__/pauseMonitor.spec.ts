import { setTimeout as wait } from 'node:timers/promises';
import { expect, onTestFinished, test } from 'vitest';
import { PauseMonitor } from '../pauseMonitor.js';
import type { Pause } from '../pauseMonitor.js';

const blockFor = (durationMs: number): void => {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
};

const startMonitor = () => {
  const pauses: Pause[] = [];
  const counts = { requests: 0 };
  const controller = new AbortController();
  const monitor = new PauseMonitor({
    readCounts: () => ({ ...counts }),
    onPause: (pause) => pauses.push(pause),
  });
  monitor.start(controller.signal);
  onTestFinished(() => controller.abort());
  return { monitor, pauses, counts };
};

test('input that is read right after a pause may be as old as the pause', async () => {
  const { monitor } = startMonitor();
  await wait(250);
  const beforeMs = performance.now();
  blockFor(600);
  // Immediates run after the first poll; the check may be due before or after it.
  const arrivalMs = await new Promise<number>((resolve) => {
    setImmediate(() => resolve(monitor.estimateArrivalMs()));
  });
  expect(arrivalMs).toBeLessThanOrEqual(beforeMs);
  expect(arrivalMs).toBeGreaterThan(beforeMs - 250);
});

test('input that is read later is new', async () => {
  const { monitor } = startMonitor();
  await wait(150);
  blockFor(600);
  await wait(300);
  const nowMs = performance.now();
  expect(monitor.estimateArrivalMs()).toBeGreaterThanOrEqual(nowMs);
});

test('tells each pause once, with what was counted since the last check before it', async () => {
  const { pauses, counts } = startMonitor();
  counts.requests = 3;
  await wait(250);
  const beforeMs = performance.now();
  blockFor(600);
  const afterMs = performance.now();
  setImmediate(() => {
    counts.requests += 2;
  });
  await wait(300);
  // The machine may pause the process as well.
  const ofBlock = pauses.filter(
    ({ startedAtMs, durationMs }) =>
      startedAtMs < afterMs && startedAtMs + durationMs > beforeMs + 300,
  );
  expect(ofBlock).toHaveLength(1);
  const { startedAtMs, durationMs, counts: counted } = ofBlock[0]!;
  expect(startedAtMs).toBeLessThanOrEqual(beforeMs);
  expect(startedAtMs).toBeGreaterThan(beforeMs - 250);
  expect(startedAtMs + durationMs).toBeGreaterThanOrEqual(afterMs);
  expect(startedAtMs + durationMs).toBeLessThan(performance.now());
  expect(counted).toEqual({ requests: 2 });
});

test('input has been read without a pause only since the end of the last one', async () => {
  const { monitor } = startMonitor();
  await wait(350);
  expect(monitor.hasReadFor(300)).toBe(true);
  blockFor(400);
  expect(monitor.hasReadFor(0)).toBe(false);
  await wait(300);
  expect(monitor.hasReadFor(500)).toBe(false);
  await wait(450);
  expect(monitor.hasReadFor(400)).toBe(true);
});

test('an idle process has no pauses', async () => {
  const { monitor, pauses } = startMonitor();
  await wait(700);
  const nowMs = performance.now();
  expect(monitor.estimateArrivalMs()).toBeGreaterThanOrEqual(nowMs);
  expect(pauses).toEqual([]);
});
