import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { toId } from '@goldcrestscale/core';
import type { BootId, VmId } from '@goldcrestscale/core';
import { createMesh } from '@goldcrestscale/entry';
import { measureProcessorMs } from './slope.js';
import type { Slope } from './slope.js';

const MESSAGES = 20_000;
const BATCH = 100;
const CONNECT_WAIT_MS = 500;
const MICROSECONDS_PER_MS = 1_000;
const SIDES = 2;

const createNode = async (name: string, secret: Buffer, signal: AbortSignal) =>
  createMesh({
    vmId: toId<VmId>(name),
    bootId: toId<BootId>(`${name}-boot`),
    listen: { host: '127.0.0.1', port: 0 },
    secret,
    signal,
  });

const HEARTBEAT = { incarnation: 1, offset: 123_456, ageMs: 42, state: 'live', load: 3 };

/** Measures what a message between two entry VMs costs on each side. */
export const measureMesh = async (): Promise<readonly Slope[]> => {
  const work = new AbortController();
  const secret = randomBytes(32);
  const left = await createNode('left', secret, work.signal);
  const right = await createNode('right', secret, work.signal);
  let received = 0;
  right.register('capacity', () => {
    received += 1;
  });
  const address = `127.0.0.1:${right.port}`;
  left.setPeers([{ vmId: toId<VmId>('right'), address, keepOpen: true }]);
  await sleep(CONNECT_WAIT_MS);
  const usedMs = await measureProcessorMs(async () => {
    for (let sent = 0; sent < MESSAGES; sent += BATCH) {
      for (let index = 0; index < BATCH; index += 1) {
        left.send(toId<VmId>('right'), 'capacity', HEARTBEAT);
      }
      await sleep(1);
    }
    while (received < MESSAGES) await sleep(1);
  });
  work.abort();
  return [
    {
      name: 'mesh: one message, each side',
      value: (usedMs / MESSAGES / SIDES) * MICROSECONDS_PER_MS,
      unit: 'us',
    },
  ];
};
