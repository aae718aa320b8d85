import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { expect, test } from 'vitest';
import { ListenError, bindAddress, listen } from '../listen.js';

const LOOPBACK = '127.0.0.1';

const createOptions = () => {
  const lines: string[] = [];
  const errors: Error[] = [];
  const stop = new AbortController();
  const options = {
    logger: { warn: (message: string) => lines.push(message) },
    signal: stop.signal,
    onError: (error: Error) => errors.push(error),
  };
  return { options, lines, errors, stop };
};

const listenAnywhere = async (server: Server): Promise<number> => {
  await listen(server, { host: LOOPBACK, port: 0 }, createOptions().options);
  return (server.address() as AddressInfo).port;
};

// A failed accept was thrown, since no one listened for the error, and ended the process.
test('a server that listens reports an error instead of throwing it', async () => {
  const { options, errors } = createOptions();
  const server = createServer();
  await listen(server, { host: LOOPBACK, port: 0 }, options);
  const failure = Object.assign(new Error('accept ENOBUFS'), { code: 'ENOBUFS' });
  server.emit('error', failure);
  server.close();
  expect(errors).toEqual([failure]);
});

// The start ended at once with EADDRINUSE.
test('waits for an address in use, with a line for each wait', async () => {
  const first = createServer();
  const port = await listenAnywhere(first);
  const second = createServer();
  const { options, lines } = createOptions();
  const listening = listen(second, { host: LOOPBACK, port }, options);
  setTimeout(() => first.close(), 300);
  await listening;
  expect(second.listening).toBe(true);
  expect(lines.length).toBeGreaterThan(1);
  expect(new Set(lines)).toEqual(new Set(['waiting for an address']));
  second.close();
});

// A wait without an end would keep a stopped process.
test('a stop ends the wait for an address', async () => {
  const first = createServer();
  const port = await listenAnywhere(first);
  const second = createServer();
  const { options, stop } = createOptions();
  const listening = listen(second, { host: LOOPBACK, port }, options);
  setTimeout(() => stop.abort(), 100);
  await listening;
  expect(second.listening).toBe(false);
  first.close();
});

// Waiting doesn't help against a missing right.
test('another error fails at once and tells the address', async () => {
  const { options, lines } = createOptions();
  const bind = () => Promise.reject(Object.assign(new Error('EACCES'), { code: 'EACCES' }));
  const binding = bindAddress({ host: LOOPBACK, port: 1 }, options, bind);
  await expect(binding).rejects.toThrow(ListenError);
  await expect(binding).rejects.toThrow('127.0.0.1:1');
  expect(lines).toEqual([]);
});
