import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect, onTestFinished, test } from 'vitest';
import { sleep } from '@goldcrestscale/core';
import { httpBlockTransferClient } from '../../controllers/tiering/blockTransferClient.js';
import { openBoundConnection } from '../boundConnection.js';
import { readControlJson } from '../readControlJson.js';

const PART = ' '.repeat(64 * 1024);

const MAX_BYTES = 80 * 1024 * 1024;

/** Sends a body until its connection is closed, or 80 MB. */
const sendEndless = (response: ServerResponse): void => {
  let sentBytes = 0;
  const send = (): void => {
    if (response.destroyed) return;
    if (sentBytes > MAX_BYTES) {
      response.end();
      return;
    }
    sentBytes += PART.length;
    if (response.write(PART)) setImmediate(send);
    else response.once('drain', send);
  };
  send();
};

const startServer = async (): Promise<string> => {
  const server = createServer((_request, response) => {
    sendEndless(response);
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

// Guards against a process that ends by a load report without end, which is read for each connection.
test('a load report without end fails its connection', async () => {
  await expect(openBoundConnection(await startServer())).rejects.toThrow(/too large/);
});

// Guards against a process that ends by a list of blocks without end.
test('a list of blocks without end is not read to its end', async () => {
  const { signal } = new AbortController();
  await expect(httpBlockTransferClient.fetchManifest(await startServer(), signal)).rejects.toThrow(
    /too large/,
  );
});

const sendSlowly = async function* sendSlowly() {
  for (;;) {
    yield Buffer.from(' ');
    await sleep(20);
  }
};

// Guards against a control call that goes on for ever, because each part comes in time.
test('a body that comes byte by byte ends at its time limit', async () => {
  const limits = { maxBytes: 1_000, maxMs: 200 };
  await expect(readControlJson(sendSlowly(), limits)).rejects.toThrow(/too slow/);
});
