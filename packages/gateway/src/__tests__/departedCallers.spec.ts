import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test, vi } from 'vitest';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';
import { startPausableGateway } from './pausableGateway.js';
import type { PauseKind } from './pausableGateway.js';

/** How a caller leaves. */
type Departure = 'close' | 'reset' | 'half-close';

/** Whether a caller already had an answer on its connection. */
type CallerConnection = 'kept' | 'new';

/** Whether the gateway has a connection to the upstream. */
type UpstreamState = 'connected' | 'unconnected';

const DEPARTURES: readonly Departure[] = ['close', 'reset', 'half-close'];

const PAUSES: readonly (readonly [PauseKind, number])[] = [
  ['stopped', 300],
  ['stopped', 2_000],
  ['busy', 300],
  ['busy', 2_000],
];

/** Time after a pause in which the gateway has read everything that arrived. */
const READ_MS = 100;

/** Limit on a request's time at an upstream after its caller has left. */
const MAX_ABANDONED_MS = 500;

/** Callers that leave in the same way. */
const CALLERS = 3;

const ROUTE = { timeoutMs: 10_000, maxUpstreams: 1 } as const;

const buildRequest = (id: string, contentLength = 4): string =>
  [
    'POST /a/1 HTTP/1.1',
    'host: site.example',
    `x-id: ${id}`,
    `content-length: ${contentLength}`,
    '',
    'body',
  ].join('\r\n');

const answer = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, id));
};

const ignore = (): void => undefined;

const openCaller = async (port: number): Promise<Socket> => {
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true, noDelay: true });
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
};

const openCallers = (port: number): Promise<Socket[]> =>
  Promise.all(Array.from({ length: CALLERS * DEPARTURES.length }, () => openCaller(port)));

/** Sends one request on each connection and waits for the answers. */
const warmConnections = async (callers: readonly Socket[]): Promise<void> => {
  await Promise.all(
    callers.map(async (caller, index) => {
      caller.write(buildRequest(`warm-${index}`));
      await once(caller, 'data');
    }),
  );
};

const leave = (caller: Socket, departure: Departure): void => {
  if (departure === 'reset') caller.resetAndDestroy();
  else if (departure === 'half-close') caller.end();
  else caller.destroy();
};

/** Lists the requests whose connections to the upstream are open. */
const listOpen = (received: readonly TestRequest[]): string[] =>
  received.filter(({ socket }) => !socket.destroyed).map(({ id }) => id);

/** A scenario in which callers send and leave while the gateway reads nothing. */
interface PausedScenario {
  readonly callerConnection: CallerConnection;
  readonly upstreamState: UpstreamState;
  /** Builds what a caller that leaves sends. */
  readonly buildContent?: (id: string) => string;
}

/** Runs the scenario, with a caller that stays beside those that leave. */
const runPaused = async (
  pauseKind: PauseKind,
  durationMs: number,
  { callerConnection, upstreamState, buildContent = buildRequest }: PausedScenario,
) => {
  const { port, upstreams, pause } = await startPausableGateway({
    route: ROUTE,
    upstreams: [answer],
  });
  const early = await openCallers(port);
  if (upstreamState === 'connected') await warmConnections(early);
  const finishPause = await pause(pauseKind, durationMs);
  const callers = callerConnection === 'kept' ? early : await openCallers(port);
  const staying = await openCaller(port);
  const stayingReply = once(staying, 'data').then(([data]) => String(data));
  const departing = callers.map((caller, index) => {
    const departure = DEPARTURES[index % DEPARTURES.length]!;
    return { caller, departure, id: `${departure}-${index}` };
  });
  departing.forEach(({ caller, id }) => caller.write(buildContent(id)));
  staying.write(buildRequest('staying'));
  await sleep(durationMs / 3);
  departing.forEach(({ caller, departure }) => leave(caller, departure));
  await finishPause();
  const reply = await stayingReply;
  await sleep(READ_MS);
  const sent = upstreams[0]!.received.map(({ id }) => id);
  return {
    reply,
    departed: sent.filter((id) => !id.startsWith('warm') && id !== 'staying'),
  };
};

const expectNoneSent = async (
  pauseKind: PauseKind,
  durationMs: number,
  scenario: PausedScenario,
): Promise<void> => {
  const { reply, departed } = await runPaused(pauseKind, durationMs, scenario);
  expect(reply).toMatch(/^HTTP\/1\.1 200 [^]*staying$/);
  expect(departed.join(' ')).toBe('');
};

// Guards against sending requests that were read together with the end of their connection.
test.each(PAUSES)('%s for %i ms: callers leave kept connections', (kind, durationMs) =>
  expectNoneSent(kind, durationMs, { callerConnection: 'kept', upstreamState: 'connected' }),
);

// Guards against sending requests whose connections were accepted after their end.
test.each(PAUSES)('%s for %i ms: callers leave new connections', (kind, durationMs) =>
  expectNoneSent(kind, durationMs, { callerConnection: 'new', upstreamState: 'connected' }),
);

// Guards against sending requests whose callers left before the upstream was connected.
test.each(PAUSES)('%s for %i ms: callers leave, upstream unconnected', (kind, durationMs) =>
  expectNoneSent(kind, durationMs, { callerConnection: 'new', upstreamState: 'unconnected' }),
);

// Guards against sending requests whose bodies are incomplete.
test.each(PAUSES)('%s for %i ms: callers leave inside the body', (kind, durationMs) =>
  expectNoneSent(kind, durationMs, {
    callerConnection: 'kept',
    upstreamState: 'connected',
    buildContent: (id) => buildRequest(id, 10),
  }),
);

// Guards against sending pipelined requests of callers that have left.
test.each(PAUSES)('%s for %i ms: callers leave pipelined requests', (kind, durationMs) =>
  expectNoneSent(kind, durationMs, {
    callerConnection: 'kept',
    upstreamState: 'connected',
    buildContent: (id) => [1, 2, 3].map((number) => buildRequest(`${id}-${number}`)).join(''),
  }),
);

/** Limit on the time that is handed on beyond the caller's own. */
const MAX_EXCESS_MS = 500;

// Guards against a request that counts as new when it is read, however long it lay unread.
test.each(['stopped', 'busy'] as const)("%s: the time handed on is the caller's", async (kind) => {
  const { port, upstreams, pause } = await startPausableGateway({
    route: ROUTE,
    upstreams: [answer],
  });
  const [early, late] = [await openCaller(port), await openCaller(port)];
  await warmConnections([early, late]);
  const finishPause = await pause(kind, 2_000);
  const sendTimed = (caller: Socket, id: string, waitMs: number): Promise<unknown> => {
    caller.write(buildRequest(id).replace('x-id', `x-wait: ${waitMs}\r\nx-id`));
    return once(caller, 'data');
  };
  const earlyReply = sendTimed(early, 'early', 3_000);
  await sleep(1_500);
  const lateReply = sendTimed(late, 'late', 1_000);
  await finishPause();
  // The late caller still waits for half a second, and is served.
  expect(String(await earlyReply)).toMatch(/^HTTP\/1\.1 200 /);
  expect(String(await lateReply)).toMatch(/^HTTP\/1\.1 200 /);
  const readLeftMs = (requestId: string): number =>
    Number(
      /x-left: (\d+)/.exec(upstreams[0]!.received.find(({ id }) => id === requestId)!.head)![1],
    );
  expect(readLeftMs('early')).toBeLessThanOrEqual(1_000 + MAX_EXCESS_MS);
  expect(readLeftMs('late')).toBeLessThanOrEqual(500 + MAX_EXCESS_MS);
});

// Guards against upstreams that work on for a caller that has left.
test.each([1, 3].flatMap((count) => DEPARTURES.map((departure) => [departure, count] as const)))(
  '%s ends %i pipelined requests at their upstreams',
  async (departure, count) => {
    const { port, upstreams } = await startGateway({ route: ROUTE, upstreams: [ignore] });
    const { received } = upstreams[0]!;
    const caller = await openCaller(port);
    const requests = Array.from({ length: count }, (_, index) => buildRequest(`departed-${index}`));
    caller.write(requests.join(''));
    await vi.waitFor(() => expect(received).toHaveLength(count));
    leave(caller, departure);
    await sleep(MAX_ABANDONED_MS);
    expect(listOpen(received)).toEqual([]);
  },
);

// Guards against requests that leave the VM after their callers have left, because its link was full.
test.each(DEPARTURES)('%s resets the connection to the upstream', async (departure) => {
  const { port, upstreams } = await startGateway({ route: ROUTE, upstreams: [ignore] });
  const { received } = upstreams[0]!;
  const caller = await openCaller(port);
  caller.write(buildRequest('departed'));
  await vi.waitFor(() => expect(received).toHaveLength(1));
  const endings: string[] = [];
  const { socket } = received[0]!;
  socket.once('error', (error) => endings.push((error as NodeJS.ErrnoException).code ?? ''));
  socket.once('end', () => endings.push('end'));
  leave(caller, departure);
  await vi.waitFor(() => expect(endings).toEqual(['ECONNRESET']));
});

// Guards against upstreams that work on for a request behind another one.
test.each(DEPARTURES)('%s ends requests behind an unanswered one', async (departure) => {
  const { port, upstreams } = await startGateway({ route: ROUTE, upstreams: [ignore] });
  const { received } = upstreams[0]!;
  const caller = await openCaller(port);
  caller.write(buildRequest('departed-0'));
  await vi.waitFor(() => expect(received).toHaveLength(1));
  caller.write(buildRequest('departed-1') + buildRequest('departed-2', 10));
  await vi.waitFor(() => expect(received).toHaveLength(2));
  leave(caller, departure);
  await sleep(MAX_ABANDONED_MS);
  expect(received).toHaveLength(2);
  expect(listOpen(received)).toEqual([]);
});
