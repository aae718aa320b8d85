import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { BootId, VmId } from '@goldcrestscale/core';
import { NONCE_BYTES } from './constants.js';

/** One run of the daemon on one VM. */
export interface PeerIdentity {
  readonly vmId: VmId;
  readonly bootId: BootId;
}

/** What both proofs of one greeting are computed over. */
export interface Greeting {
  readonly dialer: PeerIdentity;
  readonly listener: PeerIdentity;
  readonly dialerNonce: string;
  readonly listenerNonce: string;
}

/** Side of a connection that makes a proof. */
export type ProofSide = 'dialer' | 'listener';

const PROTOCOL_LABEL = 'goldcrest-mesh-1';

/** Makes a nonce for one greeting. */
export const makeNonce = (): string => randomBytes(NONCE_BYTES).toString('base64');

const computeProof = (secret: Buffer, side: ProofSide, greeting: Greeting): Buffer => {
  const { dialer, listener, dialerNonce, listenerNonce } = greeting;
  const parts = [
    PROTOCOL_LABEL,
    side,
    dialer.vmId,
    dialer.bootId,
    listener.vmId,
    listener.bootId,
    dialerNonce,
    listenerNonce,
  ];
  return createHmac('sha256', secret).update(JSON.stringify(parts)).digest();
};

/** Proves that this side holds the mesh secret, for one greeting and one direction only. */
export const proveSecret = (secret: Buffer, side: ProofSide, greeting: Greeting): string =>
  computeProof(secret, side, greeting).toString('base64');

/** Verifies the other side's proof in constant time. */
export const verifyProof = (
  secret: Buffer,
  side: ProofSide,
  greeting: Greeting,
  proof: string,
): boolean => {
  const expected = computeProof(secret, side, greeting);
  const received = Buffer.from(proof, 'base64');
  return received.length === expected.length && timingSafeEqual(received, expected);
};
