import fc from 'fast-check';
import { expect, test } from 'vitest';
import { toId, toWeightNumber } from '@goldcrestscale/core';
import type { ModelId, UpstreamId, VmId } from '@goldcrestscale/core';
import { decodeGossip, encodeGossip } from '../mesh/gossipMessage.js';
import type { GossipMessage } from '../mesh/gossipMessage.js';

const upstreamId = toId<UpstreamId>('up');

const message: GossipMessage = {
  vmId: toId<VmId>('vm-1'),
  sequence: 5,
  loads: [{ upstreamId, inFlight: 2, pendingTokens: 900, heldTokens: 1_200 }],
  loading: [upstreamId],
  down: [upstreamId],
  sent: [{ hash: 77, upstreamId }],
  weights: [{ upstreamId, model: toId<ModelId>('m'), held: toWeightNumber(2) }],
};

const findKey = (vmId: VmId) => (vmId === 'vm-1' ? 'key' : undefined);

test('a message survives the way to another VM', () => {
  expect(decodeGossip(encodeGossip(message, 'key'), findKey)).toEqual(message);
});

test('a message with another proof, or of an unknown VM, is dropped', () => {
  expect(decodeGossip(encodeGossip(message, 'wrong'), findKey)).toBeUndefined();
  const stranger = { ...message, vmId: toId<VmId>('vm-2') };
  expect(decodeGossip(encodeGossip(stranger, 'key'), findKey)).toBeUndefined();
});

test('a changed byte anywhere makes a message invalid', () => {
  const bytes = encodeGossip(message, 'key');
  fc.assert(
    fc.property(fc.nat(bytes.length - 1), fc.integer({ min: 1, max: 255 }), (index, change) => {
      const changed = Buffer.from(bytes);
      changed[index] = (changed[index]! + change) % 256;
      return decodeGossip(changed, findKey) === undefined;
    }),
  );
});

test('no datagram makes the decoder throw', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      expect(decodeGossip(Buffer.from(bytes), findKey)).toBeUndefined();
    }),
  );
});
