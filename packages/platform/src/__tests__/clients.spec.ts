import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { MemoryLog, toId, toLogOffset } from '@goldcrestscale/core';
import { afterEach, expect, test } from 'vitest';
import { createHttpLogStream, createVmListClient, createWeightStoreClient } from '../index.js';

type FakeResponse = { status: number; body?: unknown; headers?: Record<string, string> } | 'cut';

const cleanUps: (() => void)[] = [];
afterEach(() => cleanUps.splice(0).forEach((close) => close()));

const startServer = async (
  createResponse: (url: string, body: string) => FakeResponse | Promise<FakeResponse>,
) => {
  const server = createServer(async (message, response) => {
    let body = '';
    for await (const chunk of message) body += String(chunk);
    const fakeResponse = await createResponse(message.url ?? '', body);
    if (fakeResponse === 'cut') message.socket.destroy();
    else
      response
        .writeHead(fakeResponse.status, fakeResponse.headers)
        .end(JSON.stringify(fakeResponse.body ?? {}));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanUps.push(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

test('appends and reads records', async () => {
  const log = new MemoryLog();
  const url = await startServer(async (path, body) => {
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
] as const)('classifies an append response of %j as %s', async (reply, failure) => {
  const stream = createHttpLogStream(await startServer(() => reply), toId('table'));
  await expect(stream.append([1])).rejects.toMatchObject({ failure });
});

test('reports the first available offset for a trimmed read', async () => {
  const url = await startServer(() => ({ status: 410, body: { firstOffset: 7 } }));
  const read = createHttpLogStream(url, toId('table')).read(toLogOffset(0));
  await expect(read).rejects.toMatchObject({ failure: 'trimmed', firstOffset: 7 });
});

test('reports an append without a connection as not sent', async () => {
  const stream = createHttpLogStream('http://127.0.0.1:1', toId('table'));
  await expect(stream.append([1])).rejects.toMatchObject({ failure: 'refused' });
});

test('reports an append aborted in advance as not sent', async () => {
  const stream = createHttpLogStream('http://127.0.0.1:1', toId('table'));
  await expect(stream.append([1], AbortSignal.abort())).rejects.toMatchObject({
    failure: 'refused',
  });
});

const nest = (depth: number): unknown => JSON.parse(`${'['.repeat(depth)}${']'.repeat(depth)}`);

// Guards against one invalid entry of the VM list that stops all VMs from following it.
test.each([
  ['a port out of range', { address: 'x:99999' }],
  ['no port', { address: 'x' }],
  ['a mesh port out of range', { meshAddress: 'x:0' }],
  ['another role', { role: 'other' }],
  ['a number for an id', { vmId: 1e300 }],
  ['a deeply nested id', { vmId: nest(2_000) }],
])('an entry of the VM list with %s hides no other one', async (_, invalid) => {
  const vm = { vmId: 'a', role: 'entry', address: 'x:1', availabilityZone: 'z', state: 'live' };
  const problems: string[] = [];
  const vms = [null, { ...vm, ...invalid }, vm];
  const url = await startServer(() => ({ status: 200, body: { vms } }));
  const list = createVmListClient(url, { onInvalidEntry: (problem) => problems.push(problem) });
  expect(await list.listVms()).toEqual([vm]);
  expect(problems).toHaveLength(2);
});

test('reads the VM list and the retry delay of the weight store', async () => {
  const vm = { vmId: 'a', role: 'entry', address: 'x:1', availabilityZone: 'z', state: 'live' };
  const list = createVmListClient(await startServer(() => ({ status: 200, body: { vms: [vm] } })));
  expect(await list.listVms()).toEqual([vm]);
  const url = await startServer(() => ({ status: 429, headers: { 'retry-after': '3' } }));
  const weights = createWeightStoreClient(url).requestWeights(toId('m'), toId('v'));
  expect(await weights).toEqual({ type: 'limited', retryAfterMs: 3000 });
});
