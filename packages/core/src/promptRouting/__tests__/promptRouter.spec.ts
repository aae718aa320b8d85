import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { makeTracked, makeUpstream } from '../../fleet/__tests__/fixtures.js';
import { PeerLoads, ServiceSpeed, TrackedUpstream } from '../../fleet/index.js';
import { toId, toWeightNumber } from '../../ids.js';
import type { BlockStoreSettings } from '../../deployment/index.js';
import type { AvailabilityZoneId, ModelId, PromptPartId } from '../../ids.js';
import { PrefillRate, PromptRouter, SentParts } from '../index.js';
import type { Prompt, PromptChoice, PromptRequest } from '../index.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const makePrompt = (session: string, sessionTokens: number, ownTokens: number): Prompt => ({
  model: toId<ModelId>('model'),
  inputTokens: sessionTokens + ownTokens,
  maxOutputTokens: 50,
  parts: [
    { id: toId<PromptPartId>(session), tokens: sessionTokens },
    { id: toId<PromptPartId>(`${session}-own`), tokens: ownTokens },
  ],
});

const makeRequest = (prompt: Prompt, fields: Partial<PromptRequest> = {}): PromptRequest => ({
  prompt,
  wantedWeights: undefined,
  wantedWeightsAgeMs: 0,
  objectiveMs: 800,
  callerTimeoutMs: 3_200,
  shortestObjectiveMs: 300,
  senderCount: 1,
  engineCapacityTokens: 1_000_000,
  buildCacheKey: (partId, held) => `${held ?? 0}/${partId}`,
  bytesPerToken: 1_000,
  findStore: () => undefined,
  ...fields,
});

const store: BlockStoreSettings = {
  name: 'store',
  address: 'store:1',
  availabilityZone: toId<AvailabilityZoneId>('z1'),
  capacityTokens: 1_000_000,
  linkMbps: 10_000,
  firstByteMs: 1,
  maxEventReaders: 12,
  managed: true,
};

const makeEngines = (count: number): TrackedUpstream[] =>
  Array.from({ length: count }, (_, index) => makeTracked(`e${index}`));

const createRouter = () => new PromptRouter(new SentParts(), new PrefillRate());

/** Chooses an engine and fails if the prompt is refused. */
const chooseEngine = (
  router: PromptRouter,
  request: PromptRequest,
  engines: readonly TrackedUpstream[],
): PromptChoice => {
  const decision = router.choose(request, engines);
  if (!decision || 'retryAfterMs' in decision) throw new Error('expected an engine to be chosen');
  return decision;
};

test('VMs choose the same engine for a session without coordination', () => {
  const engines = makeEngines(8);
  const request = makeRequest(makePrompt('s1', 8_000, 500), { findStore: () => store });
  const chosen = [createRouter(), createRouter()].map(
    (router) => chooseEngine(router, request, engines).upstream.upstreamId,
  );
  expect(chosen[0]).toBeDefined();
  expect(chosen[0]).toBe(chosen[1]);
});

test('another engine is chosen if the queue at the home engine costs more than a fetch', () => {
  const engines = makeEngines(4);
  const request = makeRequest(makePrompt('s1', 8_000, 500), { findStore: () => store });
  const home = chooseEngine(createRouter(), request, engines).upstream;
  home.recordDispatch(40_000);
  const other = chooseEngine(createRouter(), request, engines).upstream;
  expect(other.upstreamId).not.toBe(home.upstreamId);
});

test('an uncached session goes to the engine with the fewest pending tokens', () => {
  const engines = makeEngines(4);
  engines.slice(0, 3).forEach((engine) => engine.recordDispatch(6_000));
  const choice = chooseEngine(createRouter(), makeRequest(makePrompt('s1', 8_000, 500)), engines);
  expect(choice.upstream.upstreamId).toBe('e3');
  expect(choice.prefillTokens).toBe(8_500);
});

test('an engine that fails prompts at once costs more than one that prefills them', () => {
  const engines = makeEngines(2);
  const [failing, sound] = engines as [TrackedUpstream, TrackedUpstream];
  sound.recordDispatch(8_500);
  failing.failureLoad.record({ runMs: 200, prefillMs: 8_500 / new PrefillRate().tokensPerMs });
  const choice = chooseEngine(createRouter(), makeRequest(makePrompt('s1', 8_000, 500)), engines);
  expect(choice.upstream).toBe(sound);
});

// Guards against refusals for overload of engines that are idle.
test('failures of all engines refuse no prompt', () => {
  const engines = makeEngines(4);
  engines.forEach(({ failureLoad }) => failureLoad.record({ runMs: 10_000, prefillMs: 10_000 }));
  const request = makeRequest(makePrompt('s1', 20_000, 500), { callerTimeoutMs: 100 });
  expect(chooseEngine(createRouter(), request, engines).firstTokenMs).toBeLessThan(300);
});

test('outdated weights cost more after the grace period', () => {
  const old = makeTracked('old');
  const fresh = makeTracked('new');
  fresh.recordWeights(toId<ModelId>('model'), toWeightNumber(2));
  fresh.recordDispatch(1_000);
  const prompt = makePrompt('s1', 100, 100);
  const wanted = toWeightNumber(2);
  const early = chooseEngine(
    createRouter(),
    makeRequest(prompt, { wantedWeights: wanted, wantedWeightsAgeMs: 100 }),
    [old, fresh],
  );
  const late = chooseEngine(
    createRouter(),
    makeRequest(prompt, { wantedWeights: wanted, wantedWeightsAgeMs: 2_000 }),
    [old, fresh],
  );
  expect(early.upstream.upstreamId).toBe('old');
  expect(late.upstream.upstreamId).toBe('new');
});

const STEP_MS = 10;

const TOKENS_PER_MS = 80;

const LONG_TOKENS = 12_000;

const SHORT_TOKENS = 900;

/** 50 long prompts per second, in addition to 100 short ones. */
const LONG_INTERVAL_MS = 20;

/**
 * Simulates six seconds with more long prompts than six engines can prefill, in addition to short
 * ones. Engines prefill 80 tokens per millisecond, first come, first served.
 */
const simulateOverload = (
  choose: (request: PromptRequest, engines: TrackedUpstream[]) => TrackedUpstream | undefined,
) => {
  const engines = makeEngines(6);
  const freeAtMs = new Map(engines.map(({ upstreamId }) => [upstreamId, 0]));
  const onTime = { short: 0, long: 0 };
  const count = { short: 0, long: 0 };
  const prefills: { engine: TrackedUpstream; tokens: number; endsAtMs: number }[] = [];
  const finishPrefills = (atMs: number): void => {
    prefills
      .filter(({ endsAtMs }) => endsAtMs <= atMs && endsAtMs > atMs - STEP_MS)
      .forEach(({ engine, tokens }) => {
        engine.recordResponseStart(tokens);
        engine.recordCompletion(tokens);
      });
  };
  const sendPrompt = (kind: 'short' | 'long', atMs: number): void => {
    const tokens = kind === 'long' ? LONG_TOKENS : SHORT_TOKENS;
    const objectiveMs = kind === 'long' ? 800 : 300;
    const prompt = makePrompt(`${kind}-${atMs}`, tokens - 100, 100);
    const engine = choose(makeRequest(prompt, { objectiveMs }), engines);
    count[kind] += 1;
    if (!engine) return;
    const startsAtMs = Math.max(atMs, freeAtMs.get(engine.upstreamId)!);
    const endsAtMs = startsAtMs + tokens / TOKENS_PER_MS;
    freeAtMs.set(engine.upstreamId, endsAtMs);
    prefills.push({ engine, tokens, endsAtMs });
    engine.recordDispatch(tokens);
    if (endsAtMs - atMs <= objectiveMs) onTime[kind] += 1;
  };
  for (let atMs = 0; atMs < 6_000; atMs += STEP_MS) {
    vi.advanceTimersByTime(STEP_MS);
    finishPrefills(atMs);
    if (atMs % LONG_INTERVAL_MS === 0) sendPrompt('long', atMs);
    sendPrompt('short', atMs);
  }
  return { short: onTime.short / count.short, long: onTime.long / count.long };
};

/** Fraction of the long prompts that the engines can prefill in addition to all short ones. */
const FEASIBLE_LONG_FRACTION =
  ((6 - SHORT_TOKENS / TOKENS_PER_MS / STEP_MS) * TOKENS_PER_MS * LONG_INTERVAL_MS) / LONG_TOKENS;

test('short prompts meet their objective under overload by long prompts', () => {
  const router = createRouter();
  const served = simulateOverload((request, engines) => {
    const decision = router.choose(request, engines);
    return decision && 'upstream' in decision ? decision.upstream : undefined;
  });
  expect(served.short).toBeGreaterThan(0.95);
  // At least half of the feasible long prompts are on time, because refusals free capacity.
  expect(served.long).toBeGreaterThan(FEASIBLE_LONG_FRACTION / 2);
});

test('choosing the shortest queue for all prompts makes short ones miss their objective', () => {
  const served = simulateOverload(
    (_request, engines) =>
      [...engines].sort((left, right) => left.pendingTokens - right.pendingTokens)[0]!,
  );
  expect(served.short).toBeLessThan(0.5);
  expect(served.long).toBeLessThan(FEASIBLE_LONG_FRACTION / 2);
});

test('the prefill rate is sampled from long prompts only', () => {
  const rate = new PrefillRate();
  const before = rate.tokensPerMs;
  rate.recordSample(100, 1);
  expect(rate.tokensPerMs).toBe(before);
  for (let step = 0; step < 200; step += 1) rate.recordSample(10_000, 200);
  expect(rate.tokensPerMs).toBeCloseTo(50, 0);
});

test('a stored session prefers the engine in the zone of its block store', () => {
  const engines = [
    makeTracked('far-1', { availabilityZone: toId<AvailabilityZoneId>('z2') }),
    makeTracked('near', { availabilityZone: store.availabilityZone }),
    makeTracked('far-2', { availabilityZone: toId<AvailabilityZoneId>('z2') }),
  ];
  const request = makeRequest(makePrompt('s1', 20_000, 500), { findStore: () => store });
  const home = chooseEngine(createRouter(), request, engines).upstream;
  home.recordDispatch(9_000);
  const others = engines.filter((engine) => engine !== home);
  const next = chooseEngine(createRouter(), request, others.concat(home)).upstream;
  expect(next.upstreamId === 'near' || home.upstreamId === 'near').toBe(true);
});

/** Makes engines of which the first is slow for a while, as their reports say. */
const makeUnevenEngines = (slowMs: number): readonly TrackedUpstream[] => {
  const [serviceSpeed, peerLoads] = [new ServiceSpeed(), new PeerLoads(1_000)];
  const engines = Array.from(
    { length: 8 },
    (_, index) => new TrackedUpstream(makeUpstream(`e${index}`), peerLoads, serviceSpeed),
  );
  for (let elapsedMs = 0; elapsedMs < 12_000; elapsedMs += 200) {
    vi.advanceTimersByTime(200);
    engines.forEach(({ speed }, index) => {
      const reported = index === 0 && elapsedMs >= 12_000 - slowMs ? 3.5 : 1;
      speed.recordAnswer({ reported, kind: 'prefill', units: 0, elapsedMs: 50 });
    });
  }
  return engines;
};

test('cached sessions leave an engine that is slow for long, and not one in a noise of 600 ms', () => {
  const request = makeRequest(makePrompt('s1', 8_000, 6_000));
  const staysAt = (slowMs: number): boolean => {
    const engines = makeUnevenEngines(slowMs);
    const sentParts = new SentParts();
    sentParts.recordSent('0/s1', engines[0]!.upstreamId);
    sentParts.recordSent('1/s1', engines[0]!.upstreamId);
    const router = new PromptRouter(sentParts, new PrefillRate());
    // By the moment alone, it would be read in again elsewhere.
    if (slowMs > 0) expect(6_000 * engines[0]!.slowdown).toBeGreaterThan(14_000);
    return chooseEngine(router, request, engines).upstream === engines[0];
  };
  expect(staysAt(0)).toBe(true);
  expect(staysAt(600)).toBe(true);
  // With one rate for all engines, it stays whatever it does.
  expect(staysAt(12_000)).toBe(false);
});
