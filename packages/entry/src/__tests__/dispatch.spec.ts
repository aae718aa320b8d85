import { afterEach, expect, test } from 'vitest';
import type { Behaviour } from './fakeUpstream.js';
import { FakeUpstream, COMPLETE_TEXT } from './fakeUpstream.js';
import { requestCompletion, callService, startHarness } from './entryHarness.js';
import type { Harness, HarnessOptions, ReceivedResponse } from './entryHarness.js';
import { UncheckedRunner } from './uncheckedRunner.js';

const cleanUps: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(cleanUps.splice(0).map((cleanUp) => cleanUp()));
});

const startUpstream = async (...script: Behaviour[]): Promise<FakeUpstream> => {
  const upstream = await new FakeUpstream().listen();
  upstream.script = script;
  cleanUps.push(() => upstream.close());
  return upstream;
};

const startEntry = async (
  upstreams: HarnessOptions['upstreams'],
  options: Partial<HarnessOptions> = {},
): Promise<Harness> => {
  const harness = await startHarness({ upstreams, ...options });
  cleanUps.push(() => harness.close());
  return harness;
};

const uncheckedRunners: Partial<HarnessOptions> = {
  createCompletionRunner: () => new UncheckedRunner(),
  createServiceRunner: () => new UncheckedRunner(),
};

/** Returns whether a response is complete and correct or else a typed error. */
const isCompleteOrTypedError = (response: ReceivedResponse): boolean =>
  (response.isComplete && response.text === COMPLETE_TEXT) || response.errorCode !== undefined;

const STREAM_FAULTS: readonly Behaviour[] = [
  'resetAfterHeaders',
  'resetMidBody',
  'truncated',
  'crossed',
];

const requestUnderFault = async (fault: Behaviour, options: Partial<HarnessOptions>) => {
  const [first, second] = [await startUpstream(fault), await startUpstream()];
  return requestCompletion(await startEntry([first, second], options));
};

for (const fault of STREAM_FAULTS) {
  test(`completes a stream after ${fault}`, async () => {
    const response = await requestUnderFault(fault, {});
    expect(response).toMatchObject({ isComplete: true, text: COMPLETE_TEXT, errorCode: undefined });
    expect(isCompleteOrTypedError(await requestUnderFault(fault, uncheckedRunners))).toBe(false);
  });
}

for (const fault of ['truncated', 'garbled', 'resetAfterHeaders', 'crossed', 'unnamed'] as const) {
  test(`sends a correct non-streaming response after ${fault}`, async () => {
    const [first, second] = [await startUpstream(fault), await startUpstream()];
    const response = await requestCompletion(await startEntry([first, second]), { stream: false });
    expect(response).toMatchObject({ status: 200, text: COMPLETE_TEXT });
    expect([first.runCount, second.runCount]).toEqual([1, 1]);
  });
}

test('an interrupted stream is resumed at its offset on the same engine', async () => {
  const engine = await startUpstream('resetMidBody');
  const response = await requestCompletion(await startEntry([engine]));
  expect(response).toMatchObject({ isComplete: true, text: COMPLETE_TEXT });
  expect(engine.calls[1]).toMatchObject({ body: { tokens: 3 } });
  expect(engine.runCount).toBe(1);
});

test('an interrupted stream is resumed at its offset on another engine', async () => {
  const [first, second] = [await startUpstream('resetMidBody'), await startUpstream()];
  first.canResume = false;
  const response = await requestCompletion(await startEntry([first, second]));
  expect(response).toMatchObject({ isComplete: true, text: COMPLETE_TEXT });
  expect(second.calls[0]).toMatchObject({ body: { resume: { text: ' t0 t1 t2', tokens: 3 } } });
  expect(first.cancelled).toEqual([first.calls[0]!.attemptId]);
});

test('ends a stream that no engine can resume with a typed error', async () => {
  const engine = await startUpstream('truncated');
  engine.canResume = false;
  const response = await requestCompletion(await startEntry([engine]));
  expect(response).toMatchObject({ isComplete: false, text: ' t0 t1 t2' });
  expect(response.errorCode).toBe('no_upstream');
});

test('cancels a response from another weight version and retries', async () => {
  const requestAfterWeightSwap = async (options: Partial<HarnessOptions>) => {
    const [first, second] = [await startUpstream('swapped'), await startUpstream()];
    const harness = await startEntry([first, second], options);
    const response = await requestCompletion(harness);
    return { response, first, second, harness };
  };
  const { response, first, second, harness } = await requestAfterWeightSwap({});
  expect(response).toMatchObject({ isComplete: true, text: COMPLETE_TEXT });
  expect(second.runCount).toBe(1);
  expect(first.cancelled).toEqual([first.calls[0]!.attemptId]);
  expect(harness.outcomes).toEqual(['neutral', 'success']);
  expect((await requestAfterWeightSwap(uncheckedRunners)).second.runCount).toBe(0);
});

test('does not count a weight version conflict or a busy engine as a failure', async () => {
  const [first, second] = [await startUpstream('conflict', 'busy'), await startUpstream()];
  const harness = await startEntry([first, second]);
  await requestCompletion(harness);
  await requestCompletion(harness);
  expect(harness.outcomes).toEqual(['neutral', 'success', 'neutral', 'success']);
  expect(first.runCount).toBe(0);
});

test('relays an error response of the engine', async () => {
  const engine = await startUpstream('rejected');
  const response = await requestCompletion(await startEntry([engine]), { stream: false });
  expect(response).toMatchObject({ status: 400, errorCode: 'too_long' });
  expect(engine.calls).toHaveLength(1);
});

const SERVICE_FAULTS: readonly Behaviour[] = [
  'resetBeforeRun',
  'answerLost',
  'resetAfterHeaders',
  'resetMidBody',
  'busy',
];

interface ServiceCase {
  readonly fault: Behaviour;
  readonly runCount: number;
  readonly verdict: string | null;
}

const callUnderFaults = async (options: Partial<HarnessOptions>): Promise<ServiceCase[]> => {
  const cases: ServiceCase[] = [];
  for (const fault of SERVICE_FAULTS) {
    const [first, second] = [await startUpstream(fault), await startUpstream(fault)];
    const { verdict } = await callService(await startEntry([first, second], options), 'POST');
    cases.push({ fault, runCount: first.runCount + second.runCount, verdict });
  }
  return cases;
};

test('runs a non-idempotent call at most once, and never if it reports not-run', async () => {
  const violatesGuarantee = ({ runCount, verdict }: ServiceCase): boolean =>
    runCount > 1 || (verdict === 'not-run' && runCount > 0);
  const cases = await callUnderFaults({});
  expect(cases.filter(violatesGuarantee)).toEqual([]);
  expect(cases.map(({ verdict }) => verdict)).toEqual([
    'may-have-run',
    'may-have-run',
    'may-have-run',
    'may-have-run',
    'not-run',
  ]);
  expect((await callUnderFaults(uncheckedRunners)).some(violatesGuarantee)).toBe(true);
});

test('retries a non-idempotent call if no byte was sent', async () => {
  const closedUpstream = await startUpstream();
  const { address } = closedUpstream;
  await closedUpstream.close();
  const service = await startUpstream();
  const harness = await startEntry([address, service]);
  expect(await callService(harness, 'POST')).toMatchObject({ status: 200, verdict: 'ran' });
  expect(harness.outcomes).toEqual(['failure', 'success']);
});

test('retries an idempotent call after a lost response', async () => {
  const [first, second] = [await startUpstream('answerLost'), await startUpstream()];
  expect(await callService(await startEntry([first, second]), 'GET')).toMatchObject({
    status: 200,
  });
  expect([first.runCount, second.runCount]).toEqual([1, 1]);
});

/** A response that has no end must end well before the deadline. */
const MAX_ENDLESS_MS = 4_000;

// Guards against an upstream that never ends its response and fills the memory of the VM until the deadline.
test.each([true, false])('ends an endless response early (streaming: %s)', async (stream) => {
  const [first, second] = [await startUpstream('endless'), await startUpstream()];
  const harness = await startEntry([first, second]);
  const startedAtMs = performance.now();
  const response = await requestCompletion(harness, {
    stream,
    headers: { 'x-deadline-ms': String(2 * MAX_ENDLESS_MS) },
  });
  expect(response).toMatchObject({ status: 200, text: COMPLETE_TEXT });
  expect(performance.now() - startedAtMs).toBeLessThan(MAX_ENDLESS_MS);
  expect(harness.outcomes).toEqual(['failure', 'success']);
});

// Guards against an upstream that never ends its response and fills the memory of the VM until the deadline.
test('ends an endless response of a plain service early', async () => {
  const service = await startUpstream('endless');
  const harness = await startEntry([service]);
  const startedAtMs = performance.now();
  expect(await callService(harness, 'POST')).toMatchObject({ verdict: 'may-have-run' });
  expect(performance.now() - startedAtMs).toBeLessThan(MAX_ENDLESS_MS);
  expect(harness.outcomes).toEqual(['failure']);
});

// Guards against a response without a length that looks complete because its reset came with its bytes.
test('never relays a response without a length that ends with a reset', async () => {
  const service = await startUpstream(
    ...Array.from({ length: 20 }, () => 'unframedReset' as const),
  );
  const harness = await startEntry([service]);
  const statuses: number[] = [];
  for (let count = 0; count < 20; count += 1) {
    statuses.push((await callService(harness, 'POST')).status);
  }
  expect(statuses.filter((status) => status < 300)).toEqual([]);
});

test('hedges a slow idempotent call and relays exactly one response', async () => {
  const [first, second] = [await startUpstream(), await startUpstream()];
  const harness = await startEntry([first, second]);
  for (let count = 0; count < 20; count += 1) await callService(harness, 'GET');
  expect(second.runCount).toBe(0);
  first.script = ['hang'];
  expect(await callService(harness, 'GET')).toMatchObject({ status: 200, verdict: 'ran' });
  expect([first.runCount, second.runCount]).toEqual([21, 1]);
  expect(harness.outcomes.at(-1)).not.toBe('failure');
});

test('sends nothing to an upstream that becomes ineligible after its selection', async () => {
  const [first, second] = [await startUpstream(), await startUpstream()];
  const harness = await startEntry([first, second]);
  const { listEngines } = harness.directory;
  Object.assign(harness.directory, {
    listEngines: (model: string) => {
      const views = listEngines(model);
      harness.ineligibleIndices.add(0);
      return views;
    },
  });
  expect(await requestCompletion(harness)).toMatchObject({ isComplete: true });
  expect([first.runCount, second.runCount]).toEqual([0, 1]);
});

test('responds with a typed error at the deadline', async () => {
  const engine = await startUpstream('hang');
  const harness = await startEntry([engine]);
  const response = await requestCompletion(harness, { headers: { 'x-deadline-ms': '100' } });
  expect(response).toMatchObject({ status: 504, errorCode: 'deadline', verdict: 'may-have-run' });
  expect(response.retryAfter).toBe('1');
  expect(harness.outcomes).toEqual(['failure']);
});

test('cancels the upstream run if the caller disconnects', async () => {
  const engine = await startUpstream('hang');
  const harness = await startEntry([engine]);
  const caller = new AbortController();
  engine.onCall = () => caller.abort();
  await requestCompletion(harness, { signal: caller.signal }).catch(() => undefined);
  await expect.poll(() => engine.cancelled).toEqual([engine.calls[0]!.attemptId]);
  await expect.poll(() => harness.outcomes).toEqual(['neutral']);
});
