import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, onTestFinished, test } from 'vitest';
import { ByteBudget } from '../byteBudget.js';
import { ByteReservation } from '../byteReservation.js';
import { readRequestBody } from '../readRequestBody.js';

const TIMEOUT_MS = 300;

/** Sends the head and the first half of a body of 8 bytes; gives what comes of it. */
const sendHalf = async () => {
  const budget = new ByteBudget(1_000);
  let settle: (outcome: string) => void = () => undefined;
  const outcome = new Promise<string>((resolve) => {
    settle = resolve;
  });
  const server = createServer((request) => {
    readRequestBody(request, {
      maxBytes: 100,
      reservation: new ByteReservation(budget),
      deadlineAtMs: performance.now() + TIMEOUT_MS,
      createTimeoutError: () => new Error('late'),
      createLeftError: () => new Error('left'),
    }).then(
      (body) => settle(`${body.toString()}, ${budget.heldBytes} held`),
      (error: unknown) => settle(String(error)),
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const socket: Socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  onTestFinished(() => {
    socket.destroy();
    server.closeAllConnections();
    server.close();
  });
  socket.on('error', () => undefined);
  socket.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\nhalf');
  await sleep(TIMEOUT_MS / 3);
  return { socket, outcome, budget };
};

// Guards against callers whose bodies are refused as late, because the VM stood still when they came.
test('a body whose rest came during a pause is read', async () => {
  const { socket, outcome, budget } = await sendHalf();
  // Timers are the first that runs after the phase of immediates.
  await new Promise(setImmediate);
  socket.write('rest');
  const endMs = performance.now() + TIMEOUT_MS;
  while (performance.now() < endMs);
  expect(await outcome).toBe('halfrest, 8 held');
  await sleep(TIMEOUT_MS);
  expect(budget.heldBytes).toBe(8);
});

test('a body that is not complete at its deadline is refused', async () => {
  const { outcome, budget } = await sendHalf();
  expect(await outcome).toBe('Error: late');
  expect(budget.heldBytes).toBe(0);
});

test('a caller that leaves before the deadline has left', async () => {
  const { socket, outcome } = await sendHalf();
  socket.destroy();
  expect(await outcome).toBe('Error: left');
});
