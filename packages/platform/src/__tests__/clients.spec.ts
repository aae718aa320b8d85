import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { MemoryLog, toId, toLogOffset } from '@goldcrestscale/core';
import { afterEach, expect, test } from 'vitest';
import { createHttpLogStream, createVmListClient, createWeightStoreClient } from '../index.js';

type Reply = { status: number; body?: unknown; headers?: Record<string, string> } | 'cut';

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach((close) => close()));

const serve = async (reply: (url: string, body: string) => Reply | Promise<Reply>) => {
  const server = createServer(async (message, response) => {
    let body = '';
    for await (const chunk of message) body += String(chunk);
    const answer = await reply(message.url ?? '', body);
    if (answer === 'cut') message.socket.destroy();
    else response.writeHead(answer.status, answer.headers).end(JSON.stringify(answer.body ?? {}));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  closers.push(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

test('append and read', async () => {
  const log = new MemoryLog();
  const url = await serve(async (path, body) => {
    if (body) {
      const { records } = JSON.parse(body) as { records: unknown[] };
      return { status: 200, body: { firstOffset: await log.append(records) } };
    }
    const from = Number(new URL(path, 'http://x').searchParams.get('from'));
    return { status: 200, body: await log.read(toLogOffset(from)) };
  });
  const stream = createHttpLogStream(url, toId('table'));
  expect(await stream.append([{ a: 1 }, { a: 2 }])).toBe(0);
  const page = await stream.read(toLogOffset(1));
  expect(page.records.map((record) => record.value)).toEqual([{ a: 2 }]);
  expect(page.headOffset).toBe(2);
});

test.each([
  [{ status: 429 }, 'refused'],
  [{ status: 503 }, 'refused'],
  [{ status: 500 }, 'unknown'],
  [{ status: 200, body: { other: 1 } }, 'unknown'],
  ['cut', 'unknown'],
] as const)('append failure %j is %s', async (reply, failure) => {
  const stream = createHttpLogStream(await serve(() => reply), toId('table'));
  await expect(stream.append([1])).rejects.toMatchObject({ failure });
});

test('trimmed read names first offset', async () => {
  const url = await serve(() => ({ status: 410, body: { firstOffset: 7 } }));
  const read = createHttpLogStream(url, toId('table')).read(toLogOffset(0));
  await expect(read).rejects.toMatchObject({ failure: 'trimmed', firstOffset: 7 });
});

test('append without a connection was not sent', async () => {
  const stream = createHttpLogStream('http://127.0.0.1:1', toId('table'));
  await expect(stream.append([1])).rejects.toMatchObject({ failure: 'refused' });
});

test('aborted append was not sent', async () => {
  const stream = createHttpLogStream('http://127.0.0.1:1', toId('table'));
  await expect(stream.append([1], AbortSignal.abort())).rejects.toMatchObject({
    failure: 'refused',
  });
});

test('VM list and weight store', async () => {
  const vm = { vmId: 'a', role: 'entry', address: 'x', availabilityZone: 'z', state: 'live' };
  const list = createVmListClient(await serve(() => ({ status: 200, body: { vms: [vm] } })));
  expect(await list.listVms()).toEqual([vm]);
  const url = await serve(() => ({ status: 429, headers: { 'retry-after': '3' } }));
  const weights = createWeightStoreClient(url).fetchWeights(toId('m'), toId('v'));
  expect(await weights).toEqual({ type: 'limited', retryAfterMs: 3000 });
});
