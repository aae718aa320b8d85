import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { expect, test, vi } from 'vitest';
import { sleep } from '@goldcrestscale/core';
import { encodeFeedContent } from '../mesh/feedMessage.js';
import type { FeedMessage } from '../mesh/feedMessage.js';
import { FeedWriter } from '../mesh/feedWriter.js';
import { TunnelFrameReader, encodeTunnelHead } from '../mesh/tunnelFrames.js';
import { TunnelSocket } from '../mesh/tunnelSocket.js';
import { splitAddress } from '../socketAddress.js';
import { UPSTREAM, createAsker, send, startPeer, startUpstream } from './tunnelFixtures.js';

/** What marks the end of the response's body. */
type Framing = 'length' | 'chunks' | 'connection';

const FRAMINGS = ['length', 'chunks', 'connection'] as const;

/** What the upstream has sent when the other VM ends. */
const MOMENTS = ['nothing', 'half a head', 'the head', 'half a body', 'the body'] as const;

type Moment = (typeof MOMENTS)[number];

/** How the other VM ends its connection: a kernel says FIN for a process that was killed. */
const ENDS = ['killed', 'reset', 'stopped'] as const;

type End = (typeof ENDS)[number];

/** What the upstream does as soon as the other VM has ended. */
const UPSTREAM_ENDS = ['goes on', 'ends'] as const;

const BODY = 'x'.repeat(64);

const HEADERS: Readonly<Record<Framing, string>> = {
  length: `content-length: ${BODY.length}`,
  chunks: 'transfer-encoding: chunked',
  connection: 'connection: close',
};

/** Splits a response into what it has sent by each moment. */
const buildParts = (framing: Framing): readonly string[] => {
  const head = `HTTP/1.1 200 OK\r\n${HEADERS[framing]}\r\n\r\n`;
  const [prefix, suffix] =
    framing === 'chunks' ? [`${BODY.length.toString(16)}\r\n`, '\r\n0\r\n\r\n'] : ['', ''];
  const body = `${prefix}${BODY}${suffix}`;
  return ['', head.slice(0, 20), head.slice(20), body.slice(0, 30), body.slice(30)];
};

const endPeer: Readonly<Record<End, (socket: Socket) => void>> = {
  killed: (socket) => socket.destroy(),
  reset: (socket) => socket.resetAndDestroy(),
  stopped: (socket) => socket.end(),
};

/** Takes the end of the connection to the other VM for that of the upstream's. */
class TrustingTunnelSocket extends TunnelSocket {
  protected override handleConnectionEnd(): void {
    this.push(null);
  }
}

/** Sends a request through another VM, and waits until the upstream has sent a part of its response. */
const startSending = async (framing: Framing, moment: Moment, Tunnel = TunnelSocket) => {
  const upstreamSockets: Socket[] = [];
  let sentBytes = 0;
  const address = await startUpstream((socket) => {
    upstreamSockets.push(socket);
    socket.once('data', () => {
      const parts = buildParts(framing).slice(0, MOMENTS.indexOf(moment) + 1);
      sentBytes = parts.join('').length;
      socket.write(parts.join(''));
    });
  });
  const peer = await startPeer(address);
  const { acquire } = createAsker([peer.port], (socket, other) => new Tunnel(socket, other));
  const connection = acquire();
  await connection.waitForOpen();
  const sent = send(connection);
  await vi.waitFor(() => {
    expect(upstreamSockets[0]?.bytesRead).toBeGreaterThan(0);
    expect(upstreamSockets[0]?.bytesWritten).toBe(sentBytes);
  });
  // What the upstream has sent passes the other VM.
  await sleep(20);
  return { sent, upstream: upstreamSockets[0]!, peer: peer.sockets[0]!, tunnels: peer.tunnels };
};

const CASES = FRAMINGS.flatMap((framing) =>
  MOMENTS.flatMap((moment) =>
    ENDS.flatMap((end) => UPSTREAM_ENDS.map((then) => [framing, moment, end, then] as const)),
  ),
);

const isWhole = (framing: Framing, moment: Moment): boolean =>
  framing !== 'connection' && moment === 'the body';

// Guards against the end of another VM that is taken for the end of the upstream's response (MIXED).
test.each(CASES)(
  'a response delimited by %s, of which %s came when the other VM is %s and the upstream %s',
  async (framing, moment, end, then) => {
    const { sent, upstream, peer } = await startSending(framing, moment);
    endPeer[end](peer);
    if (then === 'ends') upstream.end();
    const expected = isWhole(framing, moment) ? BODY.length : expect.any(String);
    expect(await sent).toEqual(expected);
  },
);

// Guards against responses without a length that are never whole behind another VM.
test.each(['half a body', 'the body'] as const)(
  'a response without a length ends with the upstream after %s',
  async (moment) => {
    const { sent, upstream } = await startSending('connection', moment);
    upstream.end();
    expect(await sent).toBe(moment === 'the body' ? BODY.length : 30);
  },
);

/** Time for which a response pauses. */
const PAUSE_MS = 1_700;

// Guards against responses that are cut because they pause while the VM between stops (ORDER).
test.each(FRAMINGS)(
  'a response delimited by %s that pauses is whole behind a VM that stops',
  async (framing) => {
    const lengths = MOMENTS.map(async (moment) => {
      const { sent, upstream, tunnels } = await startSending(framing, moment);
      tunnels.leave();
      await sleep(PAUSE_MS);
      upstream.write(
        buildParts(framing)
          .slice(MOMENTS.indexOf(moment) + 1)
          .join(''),
      );
      if (framing === 'connection') upstream.end();
      return sent;
    });
    expect(await Promise.all(lengths)).toEqual(MOMENTS.map(() => BODY.length));
  },
);

test.each(['killed', 'stopped'] as const)(
  'a socket that trusts the end of its connection is caught when the other VM is %s',
  async (end) => {
    const { sent, peer } = await startSending('connection', 'half a body', TrustingTunnelSocket);
    endPeer[end](peer);
    expect(await sent).toBe(30);
  },
);

// Guards against upstreams that are blamed for the end of the VM between.
test.each([
  ['the other VM is killed', 'vm-2 ended the connection, the upstream did not'],
  ['the upstream resets', 'connection reset by the upstream'],
])('a response that is cut because %s tells who ended it', async (cause, message) => {
  const { sent, peer, upstream } = await startSending('connection', 'half a body');
  if (cause === 'the upstream resets') upstream.resetAndDestroy();
  else endPeer.killed(peer);
  expect(await sent).toBe(message);
});

// Guards against a VM of the build before, which takes the end of the connection for the upstream's.
test('a VM that asks for a connection without frames gets none', async () => {
  let opened = 0;
  const address = await startUpstream(() => {
    opened += 1;
  });
  const { port } = await startPeer(address);
  const socket = connect(port, '127.0.0.1');
  const nonce = 'nonce';
  const question: unknown = { kind: 'tunnel', vmId: 'vm-1', nonce, upstreamId: UPSTREAM };
  const content = encodeFeedContent(question as FeedMessage);
  socket.write(new FeedWriter({ key: 'key of vm-1', nonce }).encode(content));
  const received: Buffer[] = [];
  socket.on('data', (chunk) => received.push(chunk)).on('error', () => undefined);
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  expect([opened, received]).toEqual([0, []]);
});

test('a VM of the build before is not asked again at once', async () => {
  // It closes a connection whose first message it does not know.
  const address = await startUpstream((socket) => {
    socket.once('data', () => socket.resetAndDestroy());
  });
  const { acquire, paths } = createAsker([splitAddress(address).port]);
  await expect(acquire().waitForOpen()).rejects.toThrow('vm-2 can not help');
  expect(paths.hasPeer).toBe(false);
});

test('frames are read however they are cut, and those of a later version are skipped', () => {
  const bytes = Buffer.concat([
    encodeTunnelHead('open'),
    encodeTunnelHead('data', 3),
    Buffer.from('abc'),
    Buffer.from([99, 0, 0, 0, 9]),
    Buffer.alloc(9),
    encodeTunnelHead('data', 2),
    Buffer.from('de'),
    encodeTunnelHead('reset'),
  ]);
  for (let size = 1; size <= bytes.length; size += 1) {
    const reader = new TunnelFrameReader();
    const frames = [];
    for (let offset = 0; offset < bytes.length; offset += size) {
      frames.push(...reader.push(bytes.subarray(offset, offset + size)));
    }
    expect(frames.filter(({ type }) => type !== 'data').map(({ type }) => type)).toEqual([
      'open',
      'reset',
    ]);
    expect(Buffer.concat(frames.map(({ content }) => content)).toString()).toBe('abcde');
  }
});
