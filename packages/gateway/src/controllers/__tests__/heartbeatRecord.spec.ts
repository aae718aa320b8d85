import { expect, test } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  BootId,
  EntryHeartbeat,
  QuarantineRow,
  RequestId,
  ServiceName,
  SoftwareVersion,
  UpstreamId,
  VmId,
} from '@goldcrestscale/core';
import type { KeyedRecord } from '../../ports/index.js';
import { HeartbeatDecoder, encodeHeartbeat, readRefusedPatterns } from '../heartbeatRecord.js';
import { decodeStreams, encodeStreams } from '../streamRecord.js';

const makeRecord = (key: string): KeyedRecord => ({ key, value: Buffer.from('1') });

test('rejects an incomplete heartbeat record', () => {
  const decoder = new HeartbeatDecoder();
  expect(decoder.decode(makeRecord('vm'))).toBeUndefined();
  expect(decoder.decode({ key: 'vm', value: Buffer.from('{"vmId":"a"}') })).toBeUndefined();
  expect(decoder.decode({ key: 'vm', value: undefined })).toBeUndefined();
});

const heartbeat: EntryHeartbeat = {
  vmId: toId<VmId>('vm-1'),
  bootId: toId<BootId>('boot'),
  availabilityZone: toId<AvailabilityZoneId>('z1'),
  address: 'a:1',
  meshAddress: 'a:2',
  meshKey: 'key',
  leaving: false,
  size: 1,
};

// Guards against a heartbeat of another writer whose addresses no socket can connect to.
test.each([
  ['address', '10.0.0.1:99999'],
  ['address', '10.0.0.1'],
  ['meshAddress', '10.0.0.1:0'],
  ['meshAddress', '10.0.0.1:65536'],
  ['meshAddress', 'a b:80'],
  ['size', -1],
  ['linkMbps', 0],
  ['linkMbps', '140'],
  ['callerShare', 0.1],
  ['callerShare', 1.5],
  ['isReady', 'yes'],
])('a heartbeat whose %s is %j is ignored', (name, value) => {
  const record = { ...heartbeat, [name]: value };
  const bytes = Buffer.from(JSON.stringify(record));
  expect(new HeartbeatDecoder().decode({ key: 'vm', value: bytes })).toBeUndefined();
});

test('an unchanged heartbeat record is decoded to the same object', () => {
  const decoder = new HeartbeatDecoder();
  const first = decoder.decode(encodeHeartbeat(heartbeat, []));
  expect(first).toEqual(heartbeat);
  expect(decoder.decode(encodeHeartbeat(heartbeat, []))).toBe(first);
  const leaving = { ...heartbeat, leaving: true };
  expect(decoder.decode(encodeHeartbeat(leaving, []))).toEqual(leaving);
});

// Guards against a VM that reaches the log but no other VM and keeps sending refused prompts.
test('a heartbeat reports the refused patterns', () => {
  const row: QuarantineRow = {
    kind: 'request',
    digest: 'digest',
    label: 'part',
    clearings: 0,
    requestedAgeMs: 10,
    trials: 2,
    crashes: [
      { upstreamId: toId<UpstreamId>('up'), startedAtMs: 1, account: '', service: '', ageMs: 20 },
    ],
  };
  const decoder = new HeartbeatDecoder();
  const decoded = decoder.decode(encodeHeartbeat(heartbeat, [row]))!;
  expect(readRefusedPatterns(decoded)).toEqual([row]);
  expect(readRefusedPatterns(decoder.decode(encodeHeartbeat(heartbeat, []))!)).toEqual([]);
});

// Guards against heartbeats of any size, all of which are kept.
test('a heartbeat that is too large is ignored', () => {
  const value = Buffer.from(JSON.stringify({ ...heartbeat, note: 'x'.repeat(300_000) }));
  expect(new HeartbeatDecoder().decode({ key: 'vm-1', value })).toBeUndefined();
});

// Guards against ids of any length, which are kept for each stream.
test('a stream whose id is too long is left out of a record', () => {
  const [sound, long] = ['id', 'x'.repeat(300)].map((requestId) => ({
    requestId: toId<RequestId>(requestId),
    service: toId<ServiceName>('service'),
    version: toId<SoftwareVersion>('v1'),
    account: undefined,
  }));
  const record = encodeStreams(toId<VmId>('vm-1'), [sound!, long!]);
  expect(decodeStreams(record)).toEqual([sound]);
});
