import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, expect, test, vi } from 'vitest';
import { WebSocket, WebSocketServer } from 'ws';
import { z } from 'zod';
import { toId } from '@goldcrestscale/core';
import type { BootId, VmId } from '@goldcrestscale/core';
import { decodeValue, encodeValue, parseFrame } from '../frames.js';
import { createMesh, defineMessage } from '../index.js';
import type { Mesh, PeerAddress } from '../index.js';

const secret = Buffer.alloc(32, 7);
const never = new AbortController().signal;
let stops: AbortController[] = [];

afterEach(() => {
  stops.forEach((stop) => stop.abort());
  stops = [];
});

/** Polls until an assertion holds; the limit only ends a test that would never pass. */
const waitUntil = (check: () => void): Promise<void> =>
  vi.waitFor(check, { timeout: 30_000, interval: 10 });

const startMesh = (
  vmId: string,
  options: { bootId?: string; secret?: Buffer; port?: number } = {},
) => {
  const stop = new AbortController();
  stops.push(stop);
  return createMesh({
    vmId: toId<VmId>(vmId),
    bootId: toId<BootId>(options.bootId ?? `${vmId}-boot`),
    listen: { host: '127.0.0.1', port: options.port ?? 0 },
    secret: options.secret ?? secret,
    signal: stop.signal,
  }).then((mesh) => Object.assign(mesh, { stop }));
};

const toPeer = (mesh: Mesh, keepOpen = true): PeerAddress => ({
  vmId: mesh.self.vmId,
  address: `127.0.0.1:${mesh.port}`,
  keepOpen,
});

const startPair = async () => {
  const [a, b] = await Promise.all([startMesh('a'), startMesh('b')]);
  a.setPeers([toPeer(b, false)]);
  b.setPeers([toPeer(a, false)]);
  return { a, b };
};

test('request gets the reply', async () => {
  const { a, b } = await startPair();
  b.register('echo', (payload, { from }) => ({ payload, from: from.vmId }));
  const reply = await a.request(b.self.vmId, 'echo', { n: [1, 'x', null] }, never);
  expect(reply).toEqual({ payload: { n: [1, 'x', null] }, from: 'a' });
});

test('both directions use one connection', async () => {
  const { a, b } = await startPair();
  [a, b].forEach((mesh) => mesh.register('ping', () => 'pong'));
  await a.request(b.self.vmId, 'ping', null, never);
  await b.request(a.self.vmId, 'ping', null, never);
  expect([a.stats.connectionsOpened, b.stats.connectionsOpened]).toEqual([1, 1]);
});

test('one-way message arrives once connected', async () => {
  const { a, b } = await startPair();
  const received = vi.fn();
  b.register('note', received);
  b.register('ping', () => 'pong');
  expect(a.send(b.self.vmId, 'note', 1)).toBe(false);
  await a.request(b.self.vmId, 'ping', null, never);
  expect(a.send(b.self.vmId, 'note', 2)).toBe(true);
  await waitUntil(() =>
    expect(received.mock.calls.map(([payload]) => payload as unknown)).toEqual([2]),
  );
});

test('typed message checks payload and reply', async () => {
  const { a, b } = await startPair();
  const add = defineMessage('add', z.tuple([z.number(), z.number()]), z.number());
  add.register(b, ([x, y]) => x + y);
  expect(await add.request(a, b.self.vmId, [1, 2], never)).toBe(3);
  const wrong = a.request(b.self.vmId, 'add', 'x', never);
  await expect(wrong).rejects.toMatchObject({ failure: 'malformed' });
  expect(b.stats.malformedMessages).toBe(1);
});

test('request failures are told apart', async () => {
  const { a, b } = await startPair();
  b.register('hang', () => once(new EventTarget(), 'never'));
  b.register('throw', () => {
    throw new Error('no');
  });
  b.register('die', () => {
    b.stop.abort();
  });
  b.register('ping', () => 'pong');
  // With the connection open, the short time below is spent on the peer alone.
  await a.request(b.self.vmId, 'ping', null, never);
  const cases: [Promise<unknown>, string, boolean][] = [
    [a.request(b.self.vmId, 'nobody', null, never), 'unknown_type', false],
    [a.request(b.self.vmId, 'hang', null, never, 50), 'timeout', true],
    [a.request(b.self.vmId, 'throw', null, never), 'handler_failed', true],
    [a.request(b.self.vmId, 'throw', Buffer.alloc(2_000_000), never), 'too_large', false],
    [a.request(toId('nowhere'), 'hang', null, never), 'unreachable', false],
  ];
  await Promise.all(
    cases.map(([promise, failure, mayHaveBeenHandled]) =>
      expect(promise).rejects.toMatchObject({ failure, mayHaveBeenHandled }),
    ),
  );
  expect(b.stats.unknownTypes).toBe(1);
  const lost = a.request(b.self.vmId, 'die', null, never);
  await expect(lost).rejects.toMatchObject({ failure: 'connection_lost' });
});

test('abort reaches the handler', async () => {
  const { a, b } = await startPair();
  const abort = new AbortController();
  const gone = vi.fn();
  b.register('hang', (_payload, { signal }) => {
    const ended = once(signal, 'abort').then(gone);
    abort.abort();
    return ended;
  });
  const request = a.request(b.self.vmId, 'hang', null, abort.signal, 30_000);
  await expect(request).rejects.toMatchObject({ failure: 'aborted', mayHaveBeenHandled: true });
  await waitUntil(() => expect(gone).toHaveBeenCalledOnce());
});

test('connection comes back after a restart with a new boot id', async () => {
  const { a, b } = await startPair();
  a.setPeers([toPeer(b)]);
  await waitUntil(() => expect(a.listConnected()).toHaveLength(1));
  const { port } = b;
  b.stop.abort();
  await waitUntil(() => expect(a.listConnected()).toHaveLength(0));
  await startMesh('b', { bootId: 'b-boot-2', port });
  await waitUntil(() => expect(a.listConnected()[0]?.bootId).toBe('b-boot-2'));
});

test('wrong secret is counted and told nothing', async () => {
  const [a, b] = await Promise.all([
    startMesh('a'),
    startMesh('b', { secret: Buffer.alloc(32, 8) }),
  ]);
  a.setPeers([toPeer(b, false)]);
  const failed = a.request(b.self.vmId, 'ping', null, never);
  await expect(failed).rejects.toMatchObject({ failure: 'unreachable' });
  expect(b.stats.authenticationFailures).toBe(1);
  expect(b.stats.bytesSent).toBe(0);
  expect(b.listConnected()).toHaveLength(0);
});

test('a peer that answers for another VM is refused', async () => {
  const [a, b] = await Promise.all([startMesh('a'), startMesh('b')]);
  a.setPeers([{ ...toPeer(b, false), vmId: toId('c') }]);
  await expect(a.request(toId('c'), 'x', null, never)).rejects.toMatchObject({
    failure: 'unreachable',
  });
  expect(a.stats.authenticationFailures).toBe(1);
});

/** Relays a genuine greeting from a to b and records what a has sent. */
const recordGreeting = async (a: Mesh, b: Mesh): Promise<Buffer[]> => {
  const recorded: Buffer[] = [];
  const relay = new WebSocketServer({ host: '127.0.0.1', port: 0 });
  relay.on('connection', (inner) => {
    const outer = new WebSocket(`ws://127.0.0.1:${b.port}/`);
    outer.on('message', (data) => inner.send(data as Buffer));
    inner.on('message', (data) => {
      recorded.push(data as Buffer);
      outer.send(data as Buffer);
    });
  });
  await once(relay, 'listening');
  const { port } = relay.address() as AddressInfo;
  a.setPeers([{ vmId: b.self.vmId, address: `127.0.0.1:${port}`, keepOpen: true }]);
  await waitUntil(() => expect(a.listConnected()).toHaveLength(1));
  relay.close();
  return recorded;
};

const greetWith = (mesh: Mesh, answer: (challenge: Buffer) => Buffer): Promise<Buffer[]> =>
  new Promise((resolve) => {
    const socket = new WebSocket(`ws://127.0.0.1:${mesh.port}/`);
    const received: Buffer[] = [];
    socket.on('message', (data) => {
      received.push(data as Buffer);
      if (received.length === 1) socket.send(answer(data as Buffer));
    });
    socket.on('close', () => resolve(received));
  });

test('recorded, reflected and malformed greetings are refused', async () => {
  const [a, b] = await Promise.all([startMesh('a'), startMesh('b')]);
  const recorded = await recordGreeting(a, b);
  const attempts: ((challenge: Buffer) => Buffer)[] = [
    () => recorded[0] as Buffer,
    (challenge) => challenge,
    (challenge) =>
      encodeValue(['a', 'a-boot', (decodeValue(challenge) as string[])[2], 'x'.repeat(44)]),
    () => Buffer.alloc(5_000),
    () => Buffer.from([0xc1]),
  ];
  for (const attempt of attempts) {
    expect(await greetWith(b, attempt)).toHaveLength(1);
  }
  expect(b.stats.authenticationFailures).toBe(attempts.length);
  expect(b.listConnected()).toHaveLength(1);
});

test('malformed frames are counted and dropped', () => {
  const frames: unknown[] = [
    null,
    5,
    [],
    [0, 'x'],
    [0, 1, 2, 3],
    [2, 1, 3, 'x'],
    [3, 4],
    [9, 1],
    { 0: 1 },
  ];
  frames.forEach((frame) => expect(parseFrame(encodeValue(frame))).toBeUndefined());
  expect(parseFrame(Buffer.from([0x95, 0x00]))).toBeUndefined();
});

test('peers out of the address book are disconnected', async () => {
  const { a, b } = await startPair();
  a.setPeers([toPeer(b)]);
  await waitUntil(() => expect(b.listConnected()).toHaveLength(1));
  a.setPeers([]);
  await waitUntil(() => expect(b.listConnected()).toHaveLength(0));
  await sleep(300);
  expect(a.listConnected()).toHaveLength(0);
});
