import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { BudgetedRetryPolicy, createRandomGenerator } from '@goldcrestscale/core';
import { expect, onTestFinished, test, vi } from 'vitest';
import { API_KEY, callService, startHarness } from './entryHarness.js';
import type { HarnessOptions } from './entryHarness.js';
import { FakeUpstream } from './fakeUpstream.js';
import { startPausableEntry } from './pausableEntry.js';
import type { PauseKind } from './pausableEntry.js';

/** How a caller leaves. */
type Departure = 'close' | 'reset' | 'half-close';

/** Whether a caller already had an answer on its connection. */
type CallerConnection = 'kept' | 'new';

/** Whether the entry has connections to the upstream. */
type UpstreamState = 'connected' | 'unconnected';

const DEPARTURES: readonly Departure[] = ['close', 'reset', 'half-close'];

const PAUSES: readonly (readonly [PauseKind, number])[] = [
  ['stopped', 300],
  ['stopped', 1_000],
  ['busy', 300],
  ['busy', 1_000],
];

/** Time after a pause in which the entry has read everything that arrived. */
const READ_MS = 100;

const CALLERS = 4;

/** Lookups that are answered before one may be hedged, and the time that each of them takes. */
const HEDGE_SAMPLES = 20;
const LOOKUP_MS = 200;

const buildHead = (id: string, path: string, headers: readonly string[]): string =>
  [
    `${path} HTTP/1.1`,
    'host: site.example',
    `authorization: Bearer ${API_KEY}`,
    `x-request-id: ${id}`,
    ...headers,
    '',
    '',
  ].join('\r\n');

/** Builds a completion request whose prompt is the id. */
const buildRequest = (id: string, headers: readonly string[] = [], stream = false): string => {
  const body = JSON.stringify({ model: 'small', prompt: id, stream });
  return (
    buildHead(id, 'POST /v1/completions', [...headers, `content-length: ${body.length}`]) + body
  );
};

const startUpstream = async (): Promise<FakeUpstream> => {
  const upstream = await new FakeUpstream().listen();
  onTestFinished(() => upstream.close());
  return upstream;
};

const startEntry = async (
  upstreams: HarnessOptions['upstreams'],
  options: Partial<HarnessOptions> = {},
) => {
  const harness = await startHarness({ upstreams, ...options });
  onTestFinished(() => harness.close());
  return harness;
};

const openCaller = async (baseUrl: string): Promise<Socket> => {
  const port = Number(new URL(baseUrl).port);
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true, noDelay: true });
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
};

const openCallers = (baseUrl: string): Promise<Socket[]> =>
  Promise.all(Array.from({ length: CALLERS }, () => openCaller(baseUrl)));

const receiveData = async (caller: Socket): Promise<string> => {
  const [data] = (await once(caller, 'data')) as [Buffer];
  return String(data);
};

/** Sends one request on each connection and waits for the answers. */
const warmConnections = async (callers: readonly Socket[]): Promise<void> => {
  await Promise.all(
    callers.map(async (caller, index) => {
      caller.write(buildRequest(`warm-${index}`));
      await receiveData(caller);
    }),
  );
};

const leave = (caller: Socket, departure: Departure): void => {
  if (departure === 'reset') caller.resetAndDestroy();
  else if (departure === 'half-close') caller.end();
  else caller.destroy();
};

const listDeparted = ({ calls }: FakeUpstream): readonly string[] =>
  calls.map(({ body }) => String(body.prompt)).filter((prompt) => prompt.startsWith('departed'));

/** A scenario in which callers send and leave while the entry reads nothing. */
interface PausedScenario {
  readonly pause: readonly [PauseKind, number];
  readonly departure: Departure;
  readonly callerConnection?: CallerConnection;
  readonly upstreamState?: UpstreamState;
  /** Builds what a caller that leaves sends. */
  readonly buildContent?: (id: string) => string;
}

/** Runs the scenario, with a caller that stays beside those that leave. */
const expectNoneSent = async ({
  pause: [kind, durationMs],
  departure,
  callerConnection = 'new',
  upstreamState = 'connected',
  buildContent = (id) => buildRequest(id),
}: PausedScenario): Promise<void> => {
  const upstream = await startUpstream();
  const { baseUrl, pause } = await startPausableEntry([upstream]);
  const early = await openCallers(baseUrl);
  if (upstreamState === 'connected') await warmConnections(early);
  const finishPause = await pause(kind, durationMs);
  const callers = callerConnection === 'kept' ? early : await openCallers(baseUrl);
  const staying = await openCaller(baseUrl);
  const reply = receiveData(staying);
  callers.forEach((caller, index) => caller.write(buildContent(`departed-${index}`)));
  staying.write(buildRequest('staying'));
  await sleep(durationMs / 3);
  callers.forEach((caller) => leave(caller, departure));
  await finishPause();
  expect(await reply).toMatch(/^HTTP\/1\.1 200 /);
  await sleep(READ_MS);
  expect(listDeparted(upstream)).toEqual([]);
};

const pausedCases = PAUSES.flatMap((pause) =>
  DEPARTURES.map((departure) => [...pause, departure] as const),
);

// Guards against sending requests that were read together with the end of their connection (GONE).
test.each(pausedCases)('%s for %i ms, %s on a kept connection', (kind, durationMs, departure) =>
  expectNoneSent({ pause: [kind, durationMs], departure, callerConnection: 'kept' }),
);

// Guards against sending requests whose connection was accepted after its end (GONE).
test.each(pausedCases)('%s for %i ms, %s on a new connection', (kind, durationMs, departure) =>
  expectNoneSent({ pause: [kind, durationMs], departure, callerConnection: 'new' }),
);

// Guards against sending requests of callers that left while an upstream was being connected (GONE).
test.each(pausedCases)('%s for %i ms, %s before the upstream is connected', (kind, ms, departure) =>
  expectNoneSent({ pause: [kind, ms], departure, upstreamState: 'unconnected' }),
);

// Guards against sending pipelined requests of a caller that has left (GONE).
test.each(pausedCases)('%s for %i ms, %s behind pipelined requests', (kind, ms, departure) =>
  expectNoneSent({
    pause: [kind, ms],
    departure,
    buildContent: (id) => [1, 2, 3].map((number) => buildRequest(`${id}-${number}`)).join(''),
  }),
);

// Guards against sending requests that a caller left behind an unanswered one (GONE).
test.each(DEPARTURES)(
  '%s leaves nothing to send behind an unanswered request',
  async (departure) => {
    const upstream = await startUpstream();
    upstream.script = ['hang'];
    const { baseUrl, slots } = await startEntry([upstream]);
    const caller = await openCaller(baseUrl);
    caller.write(buildRequest('departed-0'));
    await vi.waitFor(() => expect(upstream.runCount).toBe(1));
    upstream.canReport = false;
    caller.write(buildRequest('departed-1') + buildRequest('departed-2'));
    await vi.waitFor(() => expect(upstream.reportCount).toBe(3));
    leave(caller, departure);
    await sleep(READ_MS);
    upstream.sendReports();
    await vi.waitFor(() => expect(slots.inUse).toBe(0));
    expect(listDeparted(upstream)).toEqual(['departed-0']);
  },
);

// Guards against sending a request whose time ended before its body did (GONE).
test.each(PAUSES)('%s for %i ms, body end past the deadline', async (kind, durationMs) => {
  const upstream = await startUpstream();
  const { baseUrl, pause } = await startPausableEntry([upstream]);
  const caller = await openCaller(baseUrl);
  await warmConnections([caller]);
  const request = buildRequest('departed-0', ['x-deadline-ms: 150']);
  const received = receiveData(caller);
  caller.write(request.slice(0, -5));
  await sleep(50);
  const finishPause = await pause(kind, durationMs);
  caller.write(request.slice(-5));
  await finishPause();
  const reply = await received;
  expect(reply).toMatch(/^HTTP\/1\.1 504 /);
  expect(reply).toContain('"code":"deadline"');
  expect(reply).toContain('x-goldcrest-verdict: not-run');
  expect(listDeparted(upstream)).toEqual([]);
});

// Guards against refusing a caller that waits because its request lay unread for longer than its time.
test.each(PAUSES)('%s for %i ms, a short deadline of a caller that waits', async (kind, ms) => {
  const upstream = await startUpstream();
  const { baseUrl, pause } = await startPausableEntry([upstream]);
  const caller = await openCaller(baseUrl);
  await warmConnections([caller]);
  const finishPause = await pause(kind, ms);
  const received = receiveData(caller);
  caller.write(buildRequest('staying', ['x-deadline-ms: 200']));
  await finishPause();
  expect(await received).toMatch(/^HTTP\/1\.1 200 /);
});

// Guards against deadlines that move with a step of the wall clock.
test.each([-3_600_000, 3_600_000])('a step of the wall clock by %i ms', async (stepMs) => {
  const upstream = await startUpstream();
  const { baseUrl } = await startEntry([upstream]);
  const caller = await openCaller(baseUrl);
  const request = buildRequest('staying', ['x-deadline-ms: 1000']);
  caller.write(request.slice(0, -5));
  await sleep(50);
  const { now } = Date;
  vi.spyOn(Date, 'now').mockImplementation(() => now() + stepMs);
  onTestFinished(() => {
    vi.restoreAllMocks();
  });
  caller.write(request.slice(-5));
  expect(await receiveData(caller)).toMatch(/^HTTP\/1\.1 200 /);
});

const writeEvents = (response: ServerResponse, attemptId: string): void => {
  response.writeHead(200, {
    'x-attempt-id': attemptId,
    'x-weight-version': 'v1',
    'content-type': 'text/event-stream',
  });
  response.write(`data: ${JSON.stringify({ choices: [{ text: ' t0' }] })}\n\n`);
};

// Guards against resuming the stream of a caller that has left (GONE).
test.each(pausedCases)('%s for %i ms, %s before a resume', async (kind, durationMs, departure) => {
  const upstream = await startUpstream();
  const { baseUrl, pause } = await startPausableEntry([upstream]);
  const callers = await openCallers(baseUrl);
  upstream.script = callers.map(() => 'hang');
  callers.forEach((caller, index) => caller.write(buildRequest(`early-${index}`, [], true)));
  await vi.waitFor(() => expect(upstream.hangingResponses).toHaveLength(CALLERS));
  const replies = callers.map(receiveData);
  upstream.hangingResponses.forEach((response, index) =>
    writeEvents(response, upstream.calls[index]!.attemptId),
  );
  await Promise.all(replies);
  const finishPause = await pause(kind, durationMs);
  upstream.hangingResponses.forEach((response) => response.destroy());
  await sleep(durationMs / 3);
  callers.forEach((caller) => leave(caller, departure));
  await finishPause();
  await sleep(READ_MS);
  expect(upstream.calls.filter(({ path }) => path.endsWith('/resume'))).toEqual([]);
});

const answerLookups = ({ hangingResponses }: FakeUpstream): void => {
  hangingResponses.splice(0).forEach((response) => {
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end('{}');
  });
};

// Guards against a hedge whose delay passed while the answer to the first attempt lay unread (GONE).
test.each(PAUSES)('%s for %i ms, no hedge if the answer lies unread', async (kind, durationMs) => {
  const [first, second] = [await startUpstream(), await startUpstream()];
  const { baseUrl, pause } = await startPausableEntry([first, second]);
  first.script = Array.from({ length: HEDGE_SAMPLES }, () => 'hang');
  const samples = first.script.map(() => callService({ baseUrl }, 'GET'));
  await vi.waitFor(() => expect(first.hangingResponses).toHaveLength(HEDGE_SAMPLES));
  await sleep(LOOKUP_MS);
  answerLookups(first);
  await Promise.all(samples);
  // The second upstream gets one request, so that it has an idle connection.
  first.script = ['busy', 'hang'];
  await callService({ baseUrl }, 'GET');
  expect(second.runCount).toBe(1);
  const reply = callService({ baseUrl }, 'GET');
  await vi.waitFor(() => expect(first.hangingResponses).toHaveLength(1), { interval: 1 });
  const finishPause = await pause(kind, durationMs);
  answerLookups(first);
  await finishPause();
  expect(await reply).toMatchObject({ status: 200, verdict: 'ran' });
  await sleep(READ_MS);
  expect(second.runCount).toBe(1);
});

// Guards against cancelling attempts that their engine never got.
test('nothing is cancelled that was not sent', async () => {
  const upstream = await startUpstream();
  upstream.canReport = false;
  const { baseUrl, slots } = await startEntry([upstream]);
  const caller = await openCaller(baseUrl);
  caller.write(buildRequest('departed-0'));
  await vi.waitFor(() => expect(upstream.reportCount).toBe(1));
  leave(caller, 'close');
  await sleep(READ_MS);
  upstream.sendReports();
  await vi.waitFor(() => expect(slots.inUse).toBe(0));
  await sleep(READ_MS);
  expect(upstream.cancelled).toEqual([]);
  expect(listDeparted(upstream)).toEqual([]);
});

// Guards against engines that run on because their cancellation was lost.
test('a cancellation that is lost is sent again', async () => {
  const upstream = await startUpstream();
  upstream.script = ['hang'];
  upstream.cutCancellations = 1;
  const { baseUrl } = await startEntry([upstream]);
  const caller = await openCaller(baseUrl);
  caller.write(buildRequest('departed-0'));
  await vi.waitFor(() => expect(upstream.runCount).toBe(1));
  leave(caller, 'close');
  await vi.waitFor(() => expect(upstream.cancelled).toEqual([upstream.calls[0]!.attemptId]));
});

// Guards against charging the retry budget for retries that are not sent.
test('a retry of a caller that left is not charged', async () => {
  const [first, second] = [await startUpstream(), await startUpstream()];
  first.script = ['busy'];
  second.canReport = false;
  const retryPolicy = new BudgetedRetryPolicy(createRandomGenerator(1));
  const { baseUrl, slots } = await startEntry([first, second], { retryPolicy });
  const caller = await openCaller(baseUrl);
  caller.write(buildRequest('departed-0'));
  await vi.waitFor(() => expect(second.reportCount).toBe(1));
  leave(caller, 'close');
  await sleep(READ_MS);
  second.sendReports();
  await vi.waitFor(() => expect(slots.inUse).toBe(0));
  expect(listDeparted(second)).toEqual([]);
  // Three extra attempts are granted before any request.
  const granted = [1, 2, 3, 4].map(() => retryPolicy.tryHedge());
  expect(granted).toEqual([true, true, true, false]);
});
