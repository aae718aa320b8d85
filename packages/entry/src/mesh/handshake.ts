import type { RawData, WebSocket } from 'ws';
import { toId } from '@goldcrestscale/core';
import { z } from 'zod';
import { createNonce, createProof, verifyProof } from './authentication.js';
import type { HandshakeTranscript, PeerIdentity } from './authentication.js';
import { HANDSHAKE_TIMEOUT_MS, MAX_HANDSHAKE_MESSAGE_BYTES } from './constants.js';
import { decodeValue, encodeValue } from './frames.js';

/**
 * Mutual challenge-response handshake, completed before any frame is handled:
 *
 * 1. listener: identity, nonce
 * 2. dialer: identity, nonce, proof
 * 3. listener: proof
 *
 * On failure the connection is closed without a reason, so that an unauthenticated peer learns
 * nothing.
 */

const idSchema = z.string().min(1).max(128);
const nonceSchema = z.string().length(44);
const challengeSchema = z.tuple([idSchema, idSchema, nonceSchema]);
const responseSchema = z.tuple([idSchema, idSchema, nonceSchema, z.string().length(44)]);
const confirmationSchema = z.tuple([z.string().length(44)]);

/** Reason for which a handshake failed. */
export type HandshakeFailure = 'proof' | 'malformed' | 'identity' | 'timeout' | 'closed';

/** Options of a handshake. Exactly one of the two callbacks is called, exactly once. */
export interface HandshakeOptions {
  readonly self: PeerIdentity;
  readonly secret: Buffer;
  /**
   * Called in the same tick as the last handshake message, so that no following frame is missed.
   */
  readonly onAuthenticated: (peer: PeerIdentity) => void;
  readonly onFailed: (failure: HandshakeFailure) => void;
}

const createIdentity = (vmId: string, bootId: string): PeerIdentity => ({
  vmId: toId(vmId),
  bootId: toId(bootId),
});

type HandshakeStepResult = 'next' | PeerIdentity | HandshakeFailure;

/**
 * Passes each received message to `handleMessage` until the handshake succeeds, fails or times out.
 */
const runHandshake = (
  socket: WebSocket,
  options: HandshakeOptions,
  handleMessage: (message: unknown) => HandshakeStepResult,
): void => {
  let timer: NodeJS.Timeout;
  const stopListening = (): void => {
    clearTimeout(timer);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the listeners remove each other
    socket.off('message', onMessage).off('close', onClose);
  };
  const fail = (failure: HandshakeFailure): void => {
    stopListening();
    socket.terminate();
    options.onFailed(failure);
  };
  const onClose = (): void => fail('closed');
  const onMessage = (data: RawData): void => {
    const bytes = data as Buffer;
    const result =
      bytes.length > MAX_HANDSHAKE_MESSAGE_BYTES ? 'malformed' : handleMessage(decodeValue(bytes));
    if (result === 'next') return;
    if (typeof result === 'string') {
      fail(result);
      return;
    }
    stopListening();
    options.onAuthenticated(result);
  };
  timer = setTimeout(() => fail('timeout'), HANDSHAKE_TIMEOUT_MS);
  socket.on('message', onMessage).on('close', onClose);
};

/** Runs the listener side of the handshake. */
export const acceptHandshake = (socket: WebSocket, options: HandshakeOptions): void => {
  const { self, secret } = options;
  const listenerNonce = createNonce();
  runHandshake(socket, options, (message) => {
    const response = responseSchema.safeParse(message);
    if (!response.success) return 'malformed';
    const [vmId, bootId, dialerNonce, proof] = response.data;
    const dialer = createIdentity(vmId, bootId);
    const transcript: HandshakeTranscript = { dialer, listener: self, dialerNonce, listenerNonce };
    if (!verifyProof(secret, 'dialer', transcript, proof)) return 'proof';
    if (dialer.vmId === self.vmId) return 'identity';
    socket.send(encodeValue([createProof(secret, 'listener', transcript)]));
    return dialer;
  });
  socket.send(encodeValue([self.vmId, self.bootId, listenerNonce]));
};

/**
 * Runs the dialer side of the handshake; fails unless the listener identifies as `expectedVmId`.
 */
export const startHandshake = (
  socket: WebSocket,
  expectedVmId: PeerIdentity['vmId'],
  options: HandshakeOptions,
): void => {
  const { self, secret } = options;
  let transcript: HandshakeTranscript | undefined;
  const handleChallenge = (message: unknown): HandshakeStepResult => {
    const challenge = challengeSchema.safeParse(message);
    if (!challenge.success) return 'malformed';
    const [vmId, bootId, listenerNonce] = challenge.data;
    if (vmId !== expectedVmId) return 'identity';
    const listener = createIdentity(vmId, bootId);
    transcript = { dialer: self, listener, dialerNonce: createNonce(), listenerNonce };
    const proof = createProof(secret, 'dialer', transcript);
    socket.send(encodeValue([self.vmId, self.bootId, transcript.dialerNonce, proof]));
    return 'next';
  };
  runHandshake(socket, options, (message) => {
    if (!transcript) return handleChallenge(message);
    const confirmation = confirmationSchema.safeParse(message);
    if (!confirmation.success) return 'malformed';
    const isProofValid = verifyProof(secret, 'listener', transcript, confirmation.data[0]);
    return isProofValid ? transcript.listener : 'proof';
  });
};
