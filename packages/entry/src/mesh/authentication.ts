import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { BootId, VmId } from '@goldcrestscale/core';
import { HANDSHAKE_NONCE_BYTES } from './constants.js';

/** Identity of one daemon process: its VM, and the boot id that changes with every restart. */
export interface PeerIdentity {
  readonly vmId: VmId;
  readonly bootId: BootId;
}

/** Values of one handshake over which both proofs are computed. */
export interface HandshakeTranscript {
  readonly dialer: PeerIdentity;
  readonly listener: PeerIdentity;
  readonly dialerNonce: string;
  readonly listenerNonce: string;
}

/** Side of the handshake that computes a proof. */
export type HandshakeRole = 'dialer' | 'listener';

const PROTOCOL_ID = 'goldcrest-mesh-1';

/** Creates a base64 nonce for one handshake. */
export const createNonce = (): string => randomBytes(HANDSHAKE_NONCE_BYTES).toString('base64');

const computeProof = (
  secret: Buffer,
  role: HandshakeRole,
  transcript: HandshakeTranscript,
): Buffer => {
  const { dialer, listener, dialerNonce, listenerNonce } = transcript;
  const fields = [
    PROTOCOL_ID,
    role,
    dialer.vmId,
    dialer.bootId,
    listener.vmId,
    listener.bootId,
    dialerNonce,
    listenerNonce,
  ];
  return createHmac('sha256', secret).update(JSON.stringify(fields)).digest();
};

/**
 * Creates a proof that this side holds the mesh secret; valid for one handshake and one role only.
 */
export const createProof = (
  secret: Buffer,
  role: HandshakeRole,
  transcript: HandshakeTranscript,
): string => computeProof(secret, role, transcript).toString('base64');

/** Verifies the other side's proof with a constant-time comparison. */
export const verifyProof = (
  secret: Buffer,
  role: HandshakeRole,
  transcript: HandshakeTranscript,
  proof: string,
): boolean => {
  const expected = computeProof(secret, role, transcript);
  const received = Buffer.from(proof, 'base64');
  return received.length === expected.length && timingSafeEqual(received, expected);
};
