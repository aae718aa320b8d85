import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { BLOCK_TOKENS, toId } from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  BlockKey,
  UpstreamId,
  VmId,
  VmRecord,
} from '@goldcrestscale/core';
import { expect, test, vi } from 'vitest';
import { PrefixIndexController } from '../prefixIndexController.js';

const blocks = [
  { key: toId<BlockKey>(Buffer.alloc(24, 1).toString('base64url')), tokens: BLOCK_TOKENS },
];

test('follows events, and clears an engine after a restart and after removal', async () => {
  const abort = new AbortController();
  let bootId = 'b1';
  let isListed = true;
  const server = createServer((request, response) => {
    const from = Number(new URL(request.url ?? '', 'http://engine').searchParams.get('from'));
    const events = from === 0 ? [{ seq: 0, type: 'stored', keys: [blocks[0]!.key] }] : [];
    response.end(JSON.stringify({ bootId, events: bootId === 'b1' ? events : [], nextSeq: 1 }));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const vm: VmRecord = {
    vmId: toId<VmId>('e'),
    role: 'engine',
    address: `127.0.0.1:${port}`,
    availabilityZone: toId<AvailabilityZoneId>('z'),
    state: 'live',
  };
  const lost: UpstreamId[] = [];
  const controller = new PrefixIndexController({
    listVms: () => (isListed ? [vm] : []),
    onCacheLost: (upstreamId) => lost.push(upstreamId),
  });
  await controller.start(abort.signal);
  const countHolders = () => controller.index.findHolders(blocks).length;
  await vi.waitFor(() => expect(countHolders()).toBe(1), 5000);
  bootId = 'b2';
  await vi.waitFor(() => expect([countHolders(), lost.length]).toEqual([0, 1]), 5000);
  isListed = false;
  await vi.waitFor(() => expect(lost).toHaveLength(2), 5000);
  abort.abort();
  server.close();
});
