import fc from 'fast-check';
import { expect, test } from 'vitest';
import { toId } from '@goldcrestscale/core';
import { createNonce, createProof, verifyProof } from '../authentication.js';
import type { HandshakeTranscript } from '../authentication.js';
import { computeReconnectDelayMs } from '../backoff.js';
import { MAX_RECONNECT_DELAY_MS, INITIAL_RECONNECT_DELAY_MS } from '../constants.js';
import { encodeFrame, parseFrame } from '../frames.js';

const secret = Buffer.alloc(32, 1);
const createIdentity = (name: string) =>
  ({ vmId: toId(name), bootId: toId(`${name}1`) }) as HandshakeTranscript['dialer'];
const transcript: HandshakeTranscript = {
  dialer: createIdentity('a'),
  listener: createIdentity('b'),
  dialerNonce: createNonce(),
  listenerNonce: createNonce(),
};

test('proof is valid for one handshake and role only', () => {
  const proof = createProof(secret, 'dialer', transcript);
  expect(verifyProof(secret, 'dialer', transcript, proof)).toBe(true);
  const others: HandshakeTranscript[] = [
    { ...transcript, dialerNonce: createNonce() },
    { ...transcript, listenerNonce: createNonce() },
    { ...transcript, dialer: createIdentity('c') },
    { ...transcript, listener: { ...transcript.listener, bootId: toId('b2') } },
    { ...transcript, dialer: transcript.listener, listener: transcript.dialer },
  ];
  others.forEach((other) => expect(verifyProof(secret, 'dialer', other, proof)).toBe(false));
  expect(verifyProof(secret, 'listener', transcript, proof)).toBe(false);
  expect(verifyProof(Buffer.alloc(32, 2), 'dialer', transcript, proof)).toBe(false);
  expect(verifyProof(secret, 'dialer', transcript, '')).toBe(false);
});

test('reconnect delay stays within its bounds', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 10_000 }),
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      (n, r) => {
        const delayMs = computeReconnectDelayMs(n, r);
        return delayMs >= INITIAL_RECONNECT_DELAY_MS / 2 && delayMs <= MAX_RECONNECT_DELAY_MS;
      },
    ),
    { seed: 1, numRuns: 200 },
  );
});

test('parsing arbitrary bytes never throws', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 64 }), (bytes) => {
      parseFrame(Buffer.from(bytes));
    }),
    { seed: 1, numRuns: 2_000 },
  );
  const frame = { kind: 'request', id: 3, type: 't', timeoutMs: 9, payload: { a: [1] } } as const;
  expect(parseFrame(encodeFrame(frame))).toEqual(frame);
});
