import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { expect, onTestFinished, test, vi } from 'vitest';
import { ByteBudget } from '@goldcrestscale/runtime';
import { HeadMemory } from '../headMemory.js';

/** Answers each request at its head, and holds its memory until it is over. */
const startServer = async (budget: ByteBudget) => {
  const dropped: number[] = [];
  const memory = new HeadMemory({
    budget,
    maxHeadBytes: 8_192,
    onDrop: (bytes) => dropped.push(bytes),
  });
  const server = createServer((request, response) => {
    const release = memory.tryHold(request);
    request.resume();
    response.once('close', () => release?.());
    response.writeHead(release ? 404 : 503).end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  onTestFinished(() => {
    server.closeAllConnections();
    server.close();
  });
  const open = (text: string): Socket => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.write(text);
    onTestFinished(() => {
      socket.destroy();
    });
    return socket;
  };
  return { open, dropped };
};

const FIELDS = Array.from({ length: 500 }, (_value, index) => `f${index}:v\r\n`).join('');

const HEAD = `POST / HTTP/1.1\r\nhost: a\r\n${FIELDS}content-length: 2\r\n\r\n`;

// Guards against heads that count no more once they are answered, though their bodies keep them.
test('an answered request holds the memory of its head until its body ends', async () => {
  const budget = new ByteBudget(1_000_000);
  const { open } = await startServer(budget);
  const socket = open(`${HEAD}x`);
  const answered = vi.fn();
  socket.once('data', answered);
  await vi.waitFor(() => expect(answered).toHaveBeenCalled());
  expect(budget.heldBytes).toBeGreaterThan(500 * 100);
  socket.write('y');
  await vi.waitFor(() => expect(budget.heldBytes).toBe(0));
});

test('a connection that is lost gives the memory of its heads back', async () => {
  const budget = new ByteBudget(1_000_000);
  const { open } = await startServer(budget);
  const socket = open(`${HEAD}x`);
  await vi.waitFor(() => expect(budget.heldBytes).toBeGreaterThan(0));
  socket.destroy();
  await vi.waitFor(() => expect(budget.heldBytes).toBe(0));
});

// Guards against open requests that each stay within the limits, and together end the process.
test('a request without memory for its head is dropped', async () => {
  const { open, dropped } = await startServer(new ByteBudget(150_000));
  const answers: string[] = [];
  for (let count = 0; count < 3; count += 1) {
    open(`${HEAD}x`).on('data', (chunk) => answers.push(chunk.toString().slice(9, 12)));
  }
  await vi.waitFor(() => expect(answers).toHaveLength(3));
  expect(answers.sort()).toEqual(['404', '503', '503']);
  expect(dropped).toHaveLength(2);
});
