import { EventEmitter } from 'node:events';
import type { Server } from 'node:http';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { ByteBudget } from '@goldcrestscale/runtime';
import { HeadMemory } from '../headMemory.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

/** A connection whose caller reads nothing, so that it never closes by itself. */
class StuckSocket extends EventEmitter {
  bytesRead = 0;

  destroyed = false;

  readonly end = vi.fn();

  destroy(): void {
    this.destroyed = true;
  }
}

const MAX_HEAD_BYTES = 65_536;

// Guards against heads that are dropped again at each check, and stay in memory, while others are spared.
test('a dropped head is counted once, and its connection is destroyed', () => {
  const server = new EventEmitter();
  const dropped: number[] = [];
  const onDrop = (headBytes: number) => dropped.push(headBytes);
  const budget = new ByteBudget(200_000);
  new HeadMemory({ budget, maxHeadBytes: MAX_HEAD_BYTES, onDrop }).watch(
    server as unknown as Server,
  );
  const sockets = [60_000, 50_000].map((bytes) => {
    const socket = new StuckSocket();
    server.emit('connection', socket);
    socket.bytesRead = bytes;
    return socket;
  });
  vi.advanceTimersByTime(500);
  expect(dropped).toEqual([60_000]);
  expect(sockets.map(({ destroyed }) => destroyed)).toEqual([true, false]);
});
