import { expect, test } from 'vitest';
import type { RouteRule } from '@goldcrestscale/core';
import { buildChunk } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

/** How the upstream closes the connection inside its head. */
const ENDINGS = ['end', 'reset'] as const;

const ROUTES: readonly (readonly [string, Partial<RouteRule>])[] = [
  ['safe', { idempotent: true, maxUpstreams: 2 }],
  ['unsafe', { idempotent: false, maxUpstreams: 2 }],
  ['streaming', { streaming: true, idempotent: false, maxUpstreams: 2 }],
  ['resumable', { streaming: true, resumable: true, idempotent: true, maxUpstreams: 2 }],
];

const HEADS = ['content-length: 5', 'transfer-encoding: chunked', 'connection: close'] as const;

const FLUSH_MS = 5;

/** Bytes between two cuts. */
const CUT_STEP = 3;

const buildWhole = (id: string, framing: string, isStream: boolean): string => {
  const body = isStream ? 'id: 1\ndata: x\n\n' : 'whole';
  const head = [
    'HTTP/1.1 200 OK',
    `x-id: ${id}`,
    'x-sig: s',
    ...(isStream ? ['content-type: text/event-stream'] : []),
    framing.replace('5', String(body.length)),
  ];
  const isChunked = framing.startsWith('transfer');
  return `${head.join('\r\n')}\r\n\r\n${isChunked ? `${buildChunk(body)}0\r\n\r\n` : body}`;
};

const findHeadEnd = (text: string): number => text.indexOf('\r\n\r\n') + 4;

/** Sends a request for each place in the head at which the upstream can stop. */
const cutAtEachByte = async (
  route: Partial<RouteRule>,
  framing: string,
  ending: (typeof ENDINGS)[number],
) => {
  let cutAt = 1;
  const respond = ({ id, socket }: TestRequest): void => {
    const whole = buildWhole(id, framing, route.streaming === true);
    socket.write(whole.slice(0, cutAt));
    setTimeout(() => (ending === 'end' ? socket.end() : socket.resetAndDestroy()), FLUSH_MS);
  };
  const headEnd = findHeadEnd(buildWhole('id-0000', framing, route.streaming === true));
  const successes: number[] = [];
  for (cutAt = 1; cutAt < headEnd; cutAt += CUT_STEP) {
    // A gateway of its own, which neither avoids the upstream nor refuses the request.
    const { call, upstreams } = await startGateway({ route, upstreams: [respond] });
    const { status, isWhole } = await call({ headers: { 'x-id': 'id-0000' } });
    expect(upstreams[0]!.received.length).toBeGreaterThan(0);
    if (status < 300 && isWhole) successes.push(cutAt);
  }
  return successes;
};

// Guards against a 200 with a short body, framed as whole, for an answer whose head was never complete.
test.each(
  ROUTES.flatMap(([name, route]) =>
    HEADS.flatMap((framing) => ENDINGS.map((ending) => [name, framing, ending, route] as const)),
  ),
)(
  '%s: a head with %s that is cut by %s is no success',
  async (_name, framing, ending, route) => {
    expect(await cutAtEachByte(route, framing, ending)).toEqual([]);
  },
  30_000,
);
