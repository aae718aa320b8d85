import fc from 'fast-check';
import { expect, test } from 'vitest';
import { toId } from '@goldcrestscale/core';
import { makeNonce, proveSecret, verifyProof } from '../authentication.js';
import type { Greeting } from '../authentication.js';
import { computeReconnectDelay } from '../backoff.js';
import { RECONNECT_MAX_MS, RECONNECT_MIN_MS } from '../constants.js';
import { encodeFrame, parseFrame } from '../frames.js';

const secret = Buffer.alloc(32, 1);
const identity = (name: string) =>
  ({ vmId: toId(name), bootId: toId(`${name}1`) }) as Greeting['dialer'];
const greeting: Greeting = {
  dialer: identity('a'),
  listener: identity('b'),
  dialerNonce: makeNonce(),
  listenerNonce: makeNonce(),
};

test('proof holds for one greeting and direction', () => {
  const proof = proveSecret(secret, 'dialer', greeting);
  expect(verifyProof(secret, 'dialer', greeting, proof)).toBe(true);
  const others: Greeting[] = [
    { ...greeting, dialerNonce: makeNonce() },
    { ...greeting, listenerNonce: makeNonce() },
    { ...greeting, dialer: identity('c') },
    { ...greeting, listener: { ...greeting.listener, bootId: toId('b2') } },
    { ...greeting, dialer: greeting.listener, listener: greeting.dialer },
  ];
  others.forEach((other) => expect(verifyProof(secret, 'dialer', other, proof)).toBe(false));
  expect(verifyProof(secret, 'listener', greeting, proof)).toBe(false);
  expect(verifyProof(Buffer.alloc(32, 2), 'dialer', greeting, proof)).toBe(false);
  expect(verifyProof(secret, 'dialer', greeting, '')).toBe(false);
});

test('reconnect delay grows within its bounds', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 10_000 }),
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      (n, r) => {
        const delayMs = computeReconnectDelay(n, r);
        return delayMs >= RECONNECT_MIN_MS / 2 && delayMs <= RECONNECT_MAX_MS;
      },
    ),
    { seed: 1, numRuns: 200 },
  );
});

test('any bytes parse to a frame or to nothing', () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 64 }), (bytes) => {
      parseFrame(Buffer.from(bytes));
    }),
    { seed: 1, numRuns: 2_000 },
  );
  const frame = { kind: 'request', id: 3, type: 't', timeoutMs: 9, payload: { a: [1] } } as const;
  expect(parseFrame(encodeFrame(frame))).toEqual(frame);
});
