import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { computeVmPart } from '../vmPart.js';
import { runFleet } from './placeFleet.js';

beforeEach(() => {
  vi.useFakeTimers({ now: 1_000_000 });
});

afterEach(() => {
  vi.useRealTimers();
});

const setup = { total: 600, load: 1.5, calmMs: 600, runMs: 300, reportDelayMs: 200 };

/** Requests that may run beyond the places, and places that may stand idle while anyone waits. */
const MAX_OVERSHOOT = 0.15;
const MAX_IDLE = 0.15;

/** Where a VM has fewer on the average, places that come free may stand idle for longer. */
const MIN_PLACES_PER_VM = 3;

/** The simulation of 860 VMs takes most of a minute on a busy machine. */
const TIMEOUT_MS = 180_000;

[1, 7, 30, 76, 195, 860].forEach((vmCount) => {
  test(
    `${vmCount} VMs fill the places, and hardly more`,
    async () => {
      const total = Math.max(setup.total, MIN_PLACES_PER_VM * vmCount);
      const { peak, idle } = await runFleet({ ...setup, vmCount, total }, 2_000);
      expect(peak).toBeLessThanOrEqual(total * (1 + MAX_OVERSHOOT));
      expect(idle).toBeLessThanOrEqual(MAX_IDLE);
    },
    TIMEOUT_MS,
  );
});

test('VMs that fill what each of them sees pass the places by far', async () => {
  const { peak } = await runFleet({ ...setup, vmCount: 30, isNaive: true }, 3_000);
  expect(peak).toBeGreaterThan(setup.total * (1 + MAX_OVERSHOOT));
});

test('the parts of VMs that told sum up to 1, and to 2 with those who did not', () => {
  const waiting = [1, 8, 40, 3];
  const all = waiting.reduce((sum, one) => sum + one, 0);
  const told = waiting.map((own) =>
    computeVmPart({ own, told: all - own, arrivals: 5, vmCount: 30, untold: 0 }),
  );
  const untold = Array.from({ length: 26 }, () =>
    computeVmPart({ own: 5, told: all, arrivals: 5, vmCount: 30, untold: 1 }),
  );
  const sum = (parts: readonly number[]): number => parts.reduce((total, one) => total + one, 0);
  expect(sum(told)).toBeCloseTo(1);
  expect(sum(told) + sum(untold)).toBeLessThanOrEqual(2);
});
