import { createOnceKey } from '@goldcrestscale/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { OnceWorld, settleIn } from './onceWorld.js';

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
