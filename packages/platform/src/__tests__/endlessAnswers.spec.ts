import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { toId, toLogOffset } from '@goldcrestscale/core';
import { afterEach, expect, test } from 'vitest';
import { createHttpLogStream, createVmListClient, createWeightStoreClient } from '../index.js';

const cleanUps: (() => void)[] = [];
afterEach(() => cleanUps.splice(0).forEach((close) => close()));

const startServer = async (answer: (response: ServerResponse) => void): Promise<string> => {
  const server = createServer((_message, response) => answer(response));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanUps.push(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const PIECE = 'x'.repeat(65_536);

const repeatPiece = (response: ServerResponse): void => {
  const repeat = (): void => {
    if (response.destroyed) return;
    if (response.write(PIECE)) setImmediate(repeat);
    else response.once('drain', repeat);
  };
  repeat();
};

// Guards against a service that answers without end and fills the memory of whoever asks it.
test.each([
  ['a read of the log', (url: string) => createHttpLogStream(url, toId('t')).read(toLogOffset(0))],
  ['an append', (url: string) => createHttpLogStream(url, toId('t')).append([1])],
  ['the VM list', (url: string) => createVmListClient(url).listVms()],
  [
    'a request for weights',
    (url: string) => createWeightStoreClient(url).requestWeights(toId('m'), toId('v')),
  ],
])('%s that is answered without end ends early', async (_name, send) => {
  await expect(send(await startServer(repeatPiece))).rejects.toThrow('response too large');
});

// Guards against a page of more records than a function takes as arguments.
test('a page of more records than were asked for fails', async () => {
  const record = { offset: 0, timeMs: 0, value: 0 };
  const page = { records: [record, record, record], headOffset: 3, firstOffset: 0 };
  const url = await startServer((response) => response.end(JSON.stringify(page)));
  const read = createHttpLogStream(url, toId('t')).read(toLogOffset(0), { limit: 2 });
  await expect(read).rejects.toThrow('3 records, over 2');
});
