import { afterEach, expect, test } from 'vitest';
import type { Behaviour } from './fakeUpstream.js';
import { FakeUpstream, WHOLE_TEXT } from './fakeUpstream.js';
import { askCompletion, callService, startHarness } from './entryHarness.js';
import type { Harness, HarnessOptions, Received } from './entryHarness.js';
import { NaiveRunner } from './naiveRunner.js';

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

const start = async (
  upstreams: HarnessOptions['upstreams'],
  options: Partial<HarnessOptions> = {},
): Promise<Harness> => {
  const harness = await startHarness({ upstreams, ...options });
  cleanUps.push(() => harness.close());
  return harness;
};

const naive: Partial<HarnessOptions> = {
  createCompletions: () => new NaiveRunner(),
  createServices: () => new NaiveRunner(),
};

/** Whole and right, or a typed error: anything else is a broken promise. */
const isHonest = (answer: Received): boolean =>
  (answer.whole && answer.text === WHOLE_TEXT) || answer.errorCode !== undefined;

const STREAM_FAULTS: readonly Behaviour[] = [
  'resetAfterHeaders',
  'resetMidBody',
  'truncated',
  'crossed',
];

const askUnderFault = async (fault: Behaviour, options: Partial<HarnessOptions>) => {
  const [first, second] = [await startUpstream(fault), await startUpstream()];
  return askCompletion(await start([first, second], options));
};

for (const fault of STREAM_FAULTS) {
  test(`a stream is whole after ${fault}`, async () => {
    const answer = await askUnderFault(fault, {});
    expect(answer).toMatchObject({ whole: true, text: WHOLE_TEXT, errorCode: undefined });
    expect(isHonest(await askUnderFault(fault, naive))).toBe(false);
  });
}

for (const fault of ['truncated', 'garbled', 'resetAfterHeaders', 'crossed', 'unnamed'] as const) {
  test(`a whole answer is right after ${fault}`, async () => {
    const [first, second] = [await startUpstream(fault), await startUpstream()];
    const answer = await askCompletion(await start([first, second]), { stream: false });
    expect(answer).toMatchObject({ status: 200, text: WHOLE_TEXT });
    expect([first.runs, second.runs]).toEqual([1, 1]);
  });
}

test('a broken stream goes on at its offset on the same engine', async () => {
  const engine = await startUpstream('resetMidBody');
  const answer = await askCompletion(await start([engine]));
  expect(answer).toMatchObject({ whole: true, text: WHOLE_TEXT });
  expect(engine.calls[1]).toMatchObject({ body: { tokens: 3 } });
  expect(engine.runs).toBe(1);
});

test('a broken stream goes on at its offset on another engine', async () => {
  const [first, second] = [await startUpstream('resetMidBody'), await startUpstream()];
  first.canResume = false;
  const answer = await askCompletion(await start([first, second]));
  expect(answer).toMatchObject({ whole: true, text: WHOLE_TEXT });
  expect(second.calls[0]).toMatchObject({ body: { resume: { text: ' t0 t1 t2', tokens: 3 } } });
  expect(first.cancelled).toEqual([first.calls[0]!.attemptId]);
});

test('a stream that nobody can go on with ends in a typed error', async () => {
  const engine = await startUpstream('truncated');
  engine.canResume = false;
  const answer = await askCompletion(await start([engine]));
  expect(answer).toMatchObject({ whole: false, text: ' t0 t1 t2' });
  expect(answer.errorCode).toBe('no_upstream');
});

test('an answer of another weight version is cancelled and asked for again', async () => {
  const ask = async (options: Partial<HarnessOptions>) => {
    const [first, second] = [await startUpstream('swapped'), await startUpstream()];
    const harness = await start([first, second], options);
    const answer = await askCompletion(harness);
    return { answer, first, second, harness };
  };
  const { answer, first, second, harness } = await ask({});
  expect(answer).toMatchObject({ whole: true, text: WHOLE_TEXT });
  expect(second.runs).toBe(1);
  expect(first.cancelled).toEqual([first.calls[0]!.attemptId]);
  expect(harness.ends).toEqual(['neutral', 'success']);
  expect((await ask(naive)).second.runs).toBe(0);
});

test('a refused weight version and a busy engine are no faults', async () => {
  const [first, second] = [await startUpstream('conflict', 'busy'), await startUpstream()];
  const harness = await start([first, second]);
  await askCompletion(harness);
  await askCompletion(harness);
  expect(harness.ends).toEqual(['neutral', 'success', 'neutral', 'success']);
  expect(first.runs).toBe(0);
});

test('a refusal of the engine passes through', async () => {
  const engine = await startUpstream('rejected');
  const answer = await askCompletion(await start([engine]), { stream: false });
  expect(answer).toMatchObject({ status: 400, errorCode: 'too_long' });
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
  readonly runs: number;
  readonly verdict: string | null;
}

const callUnderFaults = async (options: Partial<HarnessOptions>): Promise<ServiceCase[]> => {
  const cases: ServiceCase[] = [];
  for (const fault of SERVICE_FAULTS) {
    const [first, second] = [await startUpstream(fault), await startUpstream(fault)];
    const { verdict } = await callService(await start([first, second], options), 'POST');
    cases.push({ fault, runs: first.runs + second.runs, verdict });
  }
  return cases;
};

test('an unrepeatable call runs at most once and "not run" is true', async () => {
  const isBroken = ({ runs, verdict }: ServiceCase): boolean =>
    runs > 1 || (verdict === 'not-run' && runs > 0);
  const cases = await callUnderFaults({});
  expect(cases.filter(isBroken)).toEqual([]);
  expect(cases.map(({ verdict }) => verdict)).toEqual([
    'may-have-run',
    'may-have-run',
    'may-have-run',
    'may-have-run',
    'not-run',
  ]);
  expect((await callUnderFaults(naive)).some(isBroken)).toBe(true);
});

test('an unrepeatable call is sent again where no byte has left', async () => {
  const closed = await startUpstream();
  const { address } = closed;
  await closed.close();
  const service = await startUpstream();
  const harness = await start([address, service]);
  expect(await callService(harness, 'POST')).toMatchObject({ status: 200, verdict: 'ran' });
  expect(harness.ends).toEqual(['failure', 'success']);
});

test('a look-up is asked again after a lost answer', async () => {
  const [first, second] = [await startUpstream('answerLost'), await startUpstream()];
  expect(await callService(await start([first, second]), 'GET')).toMatchObject({ status: 200 });
  expect([first.runs, second.runs]).toEqual([1, 1]);
});

test('a slow look-up is hedged, and one of both answers', async () => {
  const [first, second] = [await startUpstream(), await startUpstream()];
  const harness = await start([first, second]);
  for (let count = 0; count < 20; count += 1) await callService(harness, 'GET');
  expect(second.runs).toBe(0);
  first.script = ['hang'];
  expect(await callService(harness, 'GET')).toMatchObject({ status: 200, verdict: 'ran' });
  expect([first.runs, second.runs]).toEqual([21, 1]);
  expect(harness.ends.at(-1)).not.toBe('failure');
});

test('an upstream that becomes ineligible after the choice gets nothing', async () => {
  const [first, second] = [await startUpstream(), await startUpstream()];
  const harness = await start([first, second]);
  const { listEngines } = harness.directory;
  Object.assign(harness.directory, {
    listEngines: (model: string) => {
      const views = listEngines(model);
      harness.ineligible.add(0);
      return views;
    },
  });
  expect(await askCompletion(harness)).toMatchObject({ whole: true });
  expect([first.runs, second.runs]).toEqual([0, 1]);
});

test('a deadline ends the wait with a typed error', async () => {
  const engine = await startUpstream('hang');
  const harness = await start([engine]);
  const answer = await askCompletion(harness, { headers: { 'x-deadline-ms': '100' } });
  expect(answer).toMatchObject({ status: 504, errorCode: 'deadline', verdict: 'may-have-run' });
  expect(answer.retryAfter).toBe('1');
  expect(harness.ends).toEqual(['failure']);
});

test('a caller that goes cancels the run upstream', async () => {
  const engine = await startUpstream('hang');
  const harness = await start([engine]);
  const caller = new AbortController();
  engine.onCall = () => caller.abort();
  await askCompletion(harness, { signal: caller.signal }).catch(() => undefined);
  await expect.poll(() => engine.cancelled).toEqual([engine.calls[0]!.attemptId]);
  await expect.poll(() => harness.ends).toEqual(['neutral']);
});
