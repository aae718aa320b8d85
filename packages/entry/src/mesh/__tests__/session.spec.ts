import { EventEmitter } from 'node:events';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { afterEach, beforeEach, expect, onTestFinished, test, vi } from 'vitest';
import type { WebSocket } from 'ws';
import { toId } from '@goldcrestscale/core';
import type { BootId, VmId } from '@goldcrestscale/core';
import { KEEP_ALIVE_INTERVAL_MS } from '../constants.js';
import { createMeshStats } from '../meshStats.js';
import { Session } from '../session.js';

/** More turns of the event loop than a decision waits for. */
const TURNS = 5;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval'] });
});
afterEach(() => {
  vi.useRealTimers();
});

class FakeWebSocket extends EventEmitter {
  pings = 0;

  isTerminated = false;

  ping(): void {
    this.pings += 1;
  }

  terminate(): void {
    this.isTerminated = true;
  }
}

const openSession = (): FakeWebSocket => {
  const socket = new FakeWebSocket();
  const session = new Session(socket as unknown as WebSocket, {
    peer: { vmId: toId<VmId>('peer'), bootId: toId<BootId>('boot') },
    stats: createMeshStats(),
    handle: () => Promise.resolve(),
    onClosed: () => undefined,
  });
  onTestFinished(() => session.close());
  return socket;
};

const runTurns = async (): Promise<void> => {
  for (let turn = 0; turn < TURNS; turn += 1) await nextTurn();
};

// Guards against peers that are disconnected because this VM stood still while their pongs came.
test('a pong that is read after the timer of the check counts', async () => {
  const socket = openSession();
  vi.advanceTimersByTime(KEEP_ALIVE_INTERVAL_MS);
  await runTurns();
  vi.advanceTimersByTime(KEEP_ALIVE_INTERVAL_MS);
  socket.emit('pong');
  await runTurns();
  expect([socket.pings, socket.isTerminated]).toEqual([2, false]);
});

test('a peer without pongs is disconnected', async () => {
  const socket = openSession();
  vi.advanceTimersByTime(KEEP_ALIVE_INTERVAL_MS);
  await runTurns();
  vi.advanceTimersByTime(KEEP_ALIVE_INTERVAL_MS);
  await runTurns();
  expect([socket.pings, socket.isTerminated]).toEqual([1, true]);
});
