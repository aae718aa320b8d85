import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { CappedEjectionPolicy, createRandomGenerator, toId } from '@goldcrestscale/core';
import type { VmId, VmRecord } from '@goldcrestscale/core';
import { createLogger } from '@goldcrestscale/runtime';
import { UpstreamsController } from '../upstreamsController.js';

let stop = new AbortController();

beforeEach(() => {
  stop = new AbortController();
});
afterEach(() => stop.abort());

const LOAD_REPORT = {
  bootId: 'b',
  cold: false,
  running: 0,
  waiting: 0,
  maxConcurrent: 8,
  coldConcurrent: 2,
};

const startUpstream = async (name: string, isHanging: boolean) => {
  const counters = { reads: 0 };
  const server = createServer((_request, response) => {
    counters.reads += 1;
    if (!isHanging) response.end(JSON.stringify(LOAD_REPORT));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  stop.signal.addEventListener('abort', () => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  const vm: VmRecord = {
    vmId: toId<VmId>(name),
    role: 'engine',
    address: `127.0.0.1:${port}`,
    availabilityZone: toId('zone-a'),
    state: 'live',
  };
  return { counters, vm };
};

test('a hanging upstream does not delay the load reports of others', async () => {
  const [good, hanging] = [await startUpstream('good', false), await startUpstream('hang', true)];
  const controller = new UpstreamsController({
    table: () => ({ getUpstream: () => undefined, isZoneOut: () => false }),
    listVms: () => [good.vm, hanging.vm],
    ejection: new CappedEjectionPolicy(createRandomGenerator(1)),
    logger: createLogger({ part: 'test', level: 'error', format: 'json' }),
  });
  void controller.start(stop.signal);
  await vi.waitFor(() => expect(good.counters.reads).toBeGreaterThanOrEqual(3), {
    timeout: 30_000,
  });
  expect(hanging.counters.reads).toBe(1);
});
