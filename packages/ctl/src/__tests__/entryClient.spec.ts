import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect, onTestFinished, test } from 'vitest';
import { fetchEntries, fetchState } from '../http/entryClient.js';

const { signal } = new AbortController();

const PIECE = 'x'.repeat(65_536);

const startEndlessServer = async (): Promise<string> => {
  const server = createServer((_message, response) => {
    const repeat = (): void => {
      if (response.destroyed) return;
      if (response.write(PIECE)) setImmediate(repeat);
      else response.once('drain', repeat);
    };
    repeat();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  onTestFinished(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

// Guards against a server that answers without end and fills the memory of the operator's VM.
test.each([
  ['state', (address: string) => fetchState(address, 'key', signal)],
  ['entries', (address: string) => fetchEntries(address, signal)],
])('a request for the %s that is answered without end ends early', async (_name, fetch) => {
  await expect(fetch(await startEndlessServer())).rejects.toThrow('response too large');
});
