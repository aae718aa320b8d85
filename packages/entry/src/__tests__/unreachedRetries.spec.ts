import { afterEach, expect, test } from 'vitest';
import { BudgetedRetryPolicy, createRandomGenerator } from '@goldcrestscale/core';
import { FakeUpstream } from './fakeUpstream.js';
import type { Behaviour } from './fakeUpstream.js';
import { requestCompletion, startHarness } from './entryHarness.js';

const cleanUps: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(cleanUps.splice(0).map((cleanUp) => cleanUp()));
});

const UPSTREAM_COUNT = 6;

/** Extra sends that the budget grants before any request. */
const INITIAL_GRANTS = 3;

/** Lists addresses that refuse connections: only root may listen on their port, and nothing does. */
const listDeadAddresses = (count: number): readonly string[] =>
  Array.from({ length: count }, (_item, index) => `127.0.0.${index + 1}:1`);

const countGrants = (policy: BudgetedRetryPolicy): number => {
  let grants = 0;
  while (policy.tryHedge()) grants += 1;
  return grants;
};

/** The router prefers the dead upstreams, which come first. */
const startEntry = async (deadCount: number, scripts: readonly Behaviour[][]) => {
  const dead = listDeadAddresses(deadCount);
  const sound = scripts.map((script) => Object.assign(new FakeUpstream(), { script }));
  await Promise.all(sound.map((upstream) => upstream.listen()));
  const retryPolicy = new BudgetedRetryPolicy(createRandomGenerator(1));
  const harness = await startHarness({ upstreams: [...dead, ...sound], retryPolicy });
  cleanUps.push(() => harness.close(), ...sound.map((upstream) => () => upstream.close()));
  return { harness, retryPolicy };
};

// Guards against requests that give up, or pay for retries, although they reached no upstream.
test.each([1, UPSTREAM_COUNT / 2, UPSTREAM_COUNT - 1])(
  'an entry with %i of 6 upstreams dead serves its first requests and charges nothing',
  async (deadCount) => {
    const scripts = Array.from({ length: UPSTREAM_COUNT - deadCount }, () => []);
    const { harness, retryPolicy } = await startEntry(deadCount, scripts);
    for (let count = 0; count < 10; count += 1) {
      expect((await requestCompletion(harness)).status).toBe(200);
    }
    expect(countGrants(retryPolicy)).toBe(INITIAL_GRANTS);
  },
);

// Guards against repeats of arrived requests that nothing pays for.
test.each(['busy', 'resetBeforeRun', 'answerLost', 'truncated'] as const)(
  'a retry of an entry after %s is charged',
  async (behaviour) => {
    const { harness, retryPolicy } = await startEntry(2, [[behaviour], []]);
    expect((await requestCompletion(harness, { stream: false })).status).toBe(200);
    expect(countGrants(retryPolicy)).toBe(INITIAL_GRANTS - 1);
  },
);
