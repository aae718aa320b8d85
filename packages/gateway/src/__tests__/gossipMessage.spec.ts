import fc from 'fast-check';
import { expect, test } from 'vitest';
import { toId, toWeightNumber } from '@goldcrestscale/core';
import type { ModelId, ServiceName, UpstreamId, VmId } from '@goldcrestscale/core';
import { decodeGossip, encodeGossip } from '../mesh/gossipMessage.js';
import type { GossipMessage } from '../mesh/gossipMessage.js';

const upstreamId = toId<UpstreamId>('up');

const message: GossipMessage = {
  vmId: toId<VmId>('vm-1'),
  sequence: 5,
  loads: [{ upstreamId, inFlight: 2, pendingTokens: 900, inFlightTokens: 1_200 }],
  loading: [upstreamId],
  leaving: [{ upstreamId: toId<UpstreamId>('i-9'), startedAtMs: 77 }],
  down: [upstreamId],
  sentParts: [{ hash: 77, upstreamId }],
  quarantine: [
    {
      kind: 'request',
      digest: 'digest',
      label: 'part',
      clearings: 1,
      requestedAgeMs: 30,
      trials: 2,
      crashes: [{ upstreamId, startedAtMs: 77, account: 'account', service: 'app', ageMs: 40 }],
    },
  ],
  rates: [
    { upstreamId, startedAtMs: 77, requestsPerSecond: 2.2, ageMs: 40 },
    { upstreamId, startedAtMs: 78, requestsPerSecond: undefined, ageMs: 1 },
  ],
  weights: [{ upstreamId, model: toId<ModelId>('m'), weightNumber: toWeightNumber(2) }],
};

const findKey = (vmId: VmId) => (vmId === 'vm-1' ? 'key' : undefined);

test('decodes an encoded message', () => {
  expect(decodeGossip(encodeGossip(message, 'key'), findKey)).toEqual(message);
});

test('waiting requests are told only while there are any, and old messages lack them', () => {
  const service = toId<ServiceName>('service');
  const waiting = [{ service, priority: 2, places: 7 }];
  const told = decodeGossip(encodeGossip({ ...message, waiting }, 'key'), findKey);
  expect(told?.waiting).toEqual(waiting);
  const calm = encodeGossip({ ...message, waiting: [] }, 'key');
  expect(calm).toEqual(encodeGossip(message, 'key'));
  expect(decodeGossip(calm, findKey)?.waiting).toBeUndefined();
});

test('drops a message with a wrong MAC or from an unknown VM', () => {
  expect(decodeGossip(encodeGossip(message, 'wrong'), findKey)).toBeUndefined();
  const unknownSender = { ...message, vmId: toId<VmId>('vm-2') };
  expect(decodeGossip(encodeGossip(unknownSender, 'key'), findKey)).toBeUndefined();
});

test('drops a message with any modified byte', () => {
  const bytes = encodeGossip(message, 'key');
  fc.assert(
    fc.property(fc.nat(bytes.length - 1), fc.integer({ min: 1, max: 255 }), (index, delta) => {
      const changed = Buffer.from(bytes);
      changed[index] = (changed[index]! + delta) % 256;
      return decodeGossip(changed, findKey) === undefined;
    }),
  );
});

test('never throws on an arbitrary datagram', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      expect(decodeGossip(Buffer.from(bytes), findKey)).toBeUndefined();
    }),
  );
});
