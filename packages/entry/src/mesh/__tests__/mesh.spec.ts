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
const neverAborted = new AbortController().signal;
let stopControllers: AbortController[] = [];

afterEach(() => {
  stopControllers.forEach((stop) => stop.abort());
  stopControllers = [];
});

/** Polls until an assertion holds; the long timeout only ends a test that cannot pass. */
const waitUntil = (check: () => void): Promise<void> =>
  vi.waitFor(check, { timeout: 30_000, interval: 10 });

const startMesh = (
  vmId: string,
  options: { bootId?: string; secret?: Buffer; port?: number } = {},
) => {
  const stop = new AbortController();
  stopControllers.push(stop);
  return createMesh({
    vmId: toId<VmId>(vmId),
    bootId: toId<BootId>(options.bootId ?? `${vmId}-boot`),
    listen: { host: '127.0.0.1', port: options.port ?? 0 },
    secret: options.secret ?? secret,
    signal: stop.signal,
  }).then((mesh) => Object.assign(mesh, { stop }));
};

const toPeerAddress = (mesh: Mesh, keepOpen = true): PeerAddress => ({
  vmId: mesh.self.vmId,
  address: `127.0.0.1:${mesh.port}`,
  keepOpen,
});

const startPair = async () => {
  const [a, b] = await Promise.all([startMesh('a'), startMesh('b')]);
  a.setPeers([toPeerAddress(b, false)]);
  b.setPeers([toPeerAddress(a, false)]);
  return { a, b };
};

test('request gets the reply', async () => {
  const { a, b } = await startPair();
  b.register('echo', (payload, { from }) => ({ payload, from: from.vmId }));
  const reply = await a.request(b.self.vmId, 'echo', { n: [1, 'x', null] }, neverAborted);
  expect(reply).toEqual({ payload: { n: [1, 'x', null] }, from: 'a' });
});

test('both directions use one connection', async () => {
  const { a, b } = await startPair();
  [a, b].forEach((mesh) => mesh.register('ping', () => 'pong'));
  await a.request(b.self.vmId, 'ping', null, neverAborted);
  await b.request(a.self.vmId, 'ping', null, neverAborted);
  expect([a.stats.connectionsOpened, b.stats.connectionsOpened]).toEqual([1, 1]);
});

test('one-way message arrives once connected', async () => {
  const { a, b } = await startPair();
  const received = vi.fn();
  b.register('note', received);
  b.register('ping', () => 'pong');
  expect(a.send(b.self.vmId, 'note', 1)).toBe(false);
  await a.request(b.self.vmId, 'ping', null, neverAborted);
  expect(a.send(b.self.vmId, 'note', 2)).toBe(true);
  await waitUntil(() =>
    expect(received.mock.calls.map(([payload]) => payload as unknown)).toEqual([2]),
  );
});

test('typed message validates payload and reply', async () => {
  const { a, b } = await startPair();
  const add = defineMessage('add', z.tuple([z.number(), z.number()]), z.number());
  add.register(b, ([x, y]) => x + y);
  expect(await add.request(a, b.self.vmId, [1, 2], neverAborted)).toBe(3);
  const wrong = a.request(b.self.vmId, 'add', 'x', neverAborted);
  await expect(wrong).rejects.toMatchObject({ failure: 'malformed' });
  expect(b.stats.malformedMessages).toBe(1);
});

// Guards against peers that count as silent because this VM stood still while their replies came.
test('a reply that came during a pause counts', async () => {
  const { a, b } = await startPair();
  b.register('ping', () => 'pong');
  b.register('echo', (payload) => {
    // Runs once the reply has been written; timers are the first that runs after it.
    setImmediate(() => {
      const endMs = performance.now() + 1_000;
      while (performance.now() < endMs);
    });
    return payload;
  });
  await a.request(b.self.vmId, 'ping', null, neverAborted);
  expect(await a.request(b.self.vmId, 'echo', 1, neverAborted, 500)).toBe(1);
});

test('request failures are distinguished', async () => {
  const { a, b } = await startPair();
  b.register('hang', () => once(new EventTarget(), 'never'));
  b.register('throw', () => {
    throw new Error('no');
  });
  b.register('die', () => {
    b.stop.abort();
  });
  b.register('ping', () => 'pong');
  // Connects first, so that the 50 ms timeout below covers the handler only, not the handshake.
  await a.request(b.self.vmId, 'ping', null, neverAborted);
  const cases: [Promise<unknown>, string, boolean][] = [
    [a.request(b.self.vmId, 'nobody', null, neverAborted), 'unknown_type', false],
    [a.request(b.self.vmId, 'hang', null, neverAborted, 50), 'timeout', true],
    [a.request(b.self.vmId, 'throw', null, neverAborted), 'handler_failed', true],
    [a.request(b.self.vmId, 'throw', Buffer.alloc(2_000_000), neverAborted), 'too_large', false],
    [a.request(toId('nowhere'), 'hang', null, neverAborted), 'unreachable', false],
  ];
  await Promise.all(
    cases.map(([promise, failure, mayHaveBeenHandled]) =>
      expect(promise).rejects.toMatchObject({ failure, mayHaveBeenHandled }),
    ),
  );
  expect(b.stats.unknownTypes).toBe(1);
  const lost = a.request(b.self.vmId, 'die', null, neverAborted);
  await expect(lost).rejects.toMatchObject({ failure: 'connection_lost' });
});

test('abort of a request aborts its handler', async () => {
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

test('reconnects to a restarted peer that has a new boot id', async () => {
  const { a, b } = await startPair();
  a.setPeers([toPeerAddress(b)]);
  await waitUntil(() => expect(a.listConnectedPeers()).toHaveLength(1));
  const { port } = b;
  b.stop.abort();
  await waitUntil(() => expect(a.listConnectedPeers()).toHaveLength(0));
  await startMesh('b', { bootId: 'b-boot-2', port });
  await waitUntil(() => expect(a.listConnectedPeers()[0]?.bootId).toBe('b-boot-2'));
});

test('wrong secret is counted, and no frame is sent', async () => {
  const [a, b] = await Promise.all([
    startMesh('a'),
    startMesh('b', { secret: Buffer.alloc(32, 8) }),
  ]);
  a.setPeers([toPeerAddress(b, false)]);
  const failed = a.request(b.self.vmId, 'ping', null, neverAborted);
  await expect(failed).rejects.toMatchObject({ failure: 'unreachable' });
  expect(b.stats.authenticationFailures).toBe(1);
  expect(b.stats.bytesSent).toBe(0);
  expect(b.listConnectedPeers()).toHaveLength(0);
});

test('peer that identifies as another VM is rejected', async () => {
  const [a, b] = await Promise.all([startMesh('a'), startMesh('b')]);
  a.setPeers([{ ...toPeerAddress(b, false), vmId: toId('c') }]);
  await expect(a.request(toId('c'), 'x', null, neverAborted)).rejects.toMatchObject({
    failure: 'unreachable',
  });
  expect(a.stats.authenticationFailures).toBe(1);
});

/** Relays a valid handshake from a to b and records what a sent. */
const recordHandshake = async (a: Mesh, b: Mesh): Promise<Buffer[]> => {
  const recorded: Buffer[] = [];
  const proxy = new WebSocketServer({ host: '127.0.0.1', port: 0 });
  proxy.on('connection', (dialerSocket) => {
    const listenerSocket = new WebSocket(`ws://127.0.0.1:${b.port}/`);
    listenerSocket.on('message', (data) => dialerSocket.send(data as Buffer));
    dialerSocket.on('message', (data) => {
      recorded.push(data as Buffer);
      listenerSocket.send(data as Buffer);
    });
  });
  await once(proxy, 'listening');
  const { port } = proxy.address() as AddressInfo;
  a.setPeers([{ vmId: b.self.vmId, address: `127.0.0.1:${port}`, keepOpen: true }]);
  await waitUntil(() => expect(a.listConnectedPeers()).toHaveLength(1));
  proxy.close();
  return recorded;
};

const runRawHandshake = (mesh: Mesh, answer: (challenge: Buffer) => Buffer): Promise<Buffer[]> =>
  new Promise((resolve) => {
    const socket = new WebSocket(`ws://127.0.0.1:${mesh.port}/`);
    const received: Buffer[] = [];
    socket.on('message', (data) => {
      received.push(data as Buffer);
      if (received.length === 1) socket.send(answer(data as Buffer));
    });
    socket.on('close', () => resolve(received));
  });

test('replayed, reflected and malformed handshakes are rejected', async () => {
  const [a, b] = await Promise.all([startMesh('a'), startMesh('b')]);
  const recorded = await recordHandshake(a, b);
  const attempts: ((challenge: Buffer) => Buffer)[] = [
    () => recorded[0] as Buffer,
    (challenge) => challenge,
    (challenge) =>
      encodeValue(['a', 'a-boot', (decodeValue(challenge) as string[])[2], 'x'.repeat(44)]),
    () => Buffer.alloc(5_000),
    () => Buffer.from([0xc1]),
  ];
  for (const attempt of attempts) {
    expect(await runRawHandshake(b, attempt)).toHaveLength(1);
  }
  expect(b.stats.authenticationFailures).toBe(attempts.length);
  expect(b.listConnectedPeers()).toHaveLength(1);
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

test('peers removed by setPeers are disconnected', async () => {
  const { a, b } = await startPair();
  a.setPeers([toPeerAddress(b)]);
  await waitUntil(() => expect(b.listConnectedPeers()).toHaveLength(1));
  a.setPeers([]);
  await waitUntil(() => expect(b.listConnectedPeers()).toHaveLength(0));
  await sleep(300);
  expect(a.listConnectedPeers()).toHaveLength(0);
});
