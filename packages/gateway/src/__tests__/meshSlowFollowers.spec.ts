import { expect, onTestFinished, test, vi } from 'vitest';
import { sleep } from '@goldcrestscale/core';
import { startMeshServer } from './meshServer.js';

const FOLLOWERS = 30;

const BATCHES = 16;

const MEGABYTE = 1_000_000;

// Guards against a VM whose memory the backlogs of slow followers take, each within its own limit.
test('what slow followers have not read is bounded for all together', async () => {
  const { server, follow } = await startMeshServer(4 * MEGABYTE);
  const slow = Array.from({ length: FOLLOWERS }, (_value, index) => follow(`vm-${index}`));
  slow.forEach(({ socket }) => socket.pause());
  const reading = follow('vm-39');
  let readBytes = 0;
  reading.socket.on('data', (chunk) => {
    readBytes += chunk.length;
  });
  await vi.waitFor(() => expect(server.countFollowers()).toBe(FOLLOWERS + 1));
  const baseBytes = process.memoryUsage().arrayBuffers;
  let peakBytes = 0;
  for (let from = 0; from < BATCHES; from += 1) {
    const records = [{ key: 'key', value: Buffer.alloc(MEGABYTE, from) }];
    const batch = { topic: 'upstreams', era: 1, from, next: from + 1, records } as const;
    server.publish({ kind: 'batch', batch });
    await sleep(100);
    peakBytes = Math.max(peakBytes, process.memoryUsage().arrayBuffers - baseBytes);
  }
  expect(peakBytes).toBeLessThan(100 * MEGABYTE);
  await vi.waitFor(() => expect(readBytes).toBeGreaterThan(BATCHES * MEGABYTE));
  expect(reading.socket.destroyed).toBe(false);
});

// Guards against a slow follower that keeps what it has not read for ever.
test('a follower that reads nothing is closed, and one that reads is not', async () => {
  const { server, follow } = await startMeshServer(40 * MEGABYTE);
  const slow = follow('vm-1');
  slow.socket.pause();
  const reading = follow('vm-2');
  reading.socket.resume();
  const ask = (): void => {
    [slow, reading].forEach(({ socket, encode }) =>
      socket.write(encode({ kind: 'ask', question: 1 })),
    );
  };
  await vi.waitFor(() => expect(server.countFollowers()).toBe(2));
  const records = [{ key: 'key', value: Buffer.alloc(7 * MEGABYTE) }];
  const batch = { topic: 'upstreams', era: 1, from: 0, next: 1, records } as const;
  server.publish({ kind: 'batch', batch });
  const timer = setInterval(ask, 400);
  onTestFinished(() => clearInterval(timer));
  await vi.waitFor(() => expect(server.countFollowers()).toBe(1), { timeout: 9_000 });
  expect(reading.socket.destroyed).toBe(false);
});
