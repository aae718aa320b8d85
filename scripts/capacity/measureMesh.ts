import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { toId } from '@goldcrestscale/core';
import type { BootId, VmId } from '@goldcrestscale/core';
import { createMesh } from '@goldcrestscale/entry';
import { measureCpuMs } from './marginalCost.js';
import type { MarginalCost } from './marginalCost.js';

const MESSAGE_COUNT = 20_000;
const BATCH_SIZE = 100;
const CONNECT_WAIT_MS = 500;
const MICROSECONDS_PER_MS = 1_000;
const NODE_COUNT = 2;

const createMeshNode = async (name: string, secret: Buffer, signal: AbortSignal) =>
  createMesh({
    vmId: toId<VmId>(name),
    bootId: toId<BootId>(`${name}-boot`),
    listen: { host: '127.0.0.1', port: 0 },
    secret,
    signal,
  });

const HEARTBEAT = { incarnation: 1, offset: 123_456, ageMs: 42, state: 'live', load: 3 };

/** Measures the CPU time of one mesh message, averaged over its sender and its receiver. */
export const measureMesh = async (): Promise<readonly MarginalCost[]> => {
  const lifetime = new AbortController();
  const secret = randomBytes(32);
  const left = await createMeshNode('left', secret, lifetime.signal);
  const right = await createMeshNode('right', secret, lifetime.signal);
  let received = 0;
  right.register('capacity', () => {
    received += 1;
  });
  const address = `127.0.0.1:${right.port}`;
  left.setPeers([{ vmId: toId<VmId>('right'), address, keepOpen: true }]);
  await sleep(CONNECT_WAIT_MS);
  const cpuMs = await measureCpuMs(async () => {
    for (let sent = 0; sent < MESSAGE_COUNT; sent += BATCH_SIZE) {
      for (let index = 0; index < BATCH_SIZE; index += 1) {
        left.send(toId<VmId>('right'), 'capacity', HEARTBEAT);
      }
      await sleep(1);
    }
    while (received < MESSAGE_COUNT) await sleep(1);
  });
  lifetime.abort();
  return [
    {
      name: 'mesh: one message, each side',
      value: (cpuMs / MESSAGE_COUNT / NODE_COUNT) * MICROSECONDS_PER_MS,
      unit: 'us',
    },
  ];
};
