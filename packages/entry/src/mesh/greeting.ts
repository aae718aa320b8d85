import type { RawData, WebSocket } from 'ws';
import { toId } from '@goldcrestscale/core';
import { z } from 'zod';
import { makeNonce, proveSecret, verifyProof } from './authentication.js';
import type { Greeting, PeerIdentity } from './authentication.js';
import { GREETING_TIMEOUT_MS, MAX_GREETING_BYTES } from './constants.js';
import { decodeValue, encodeValue } from './frames.js';

/**
 * Greeting of a connection, before any message is handled:
 *
 * 1. listener: its identity and a nonce
 * 2. dialer: its identity, a nonce and its proof
 * 3. listener: its proof
 *
 * A side that fails is disconnected without a reason.
 */

const nameSchema = z.string().min(1).max(128);
const nonceSchema = z.string().length(44);
const challengeSchema = z.tuple([nameSchema, nameSchema, nonceSchema]);
const responseSchema = z.tuple([nameSchema, nameSchema, nonceSchema, z.string().length(44)]);
const confirmationSchema = z.tuple([z.string().length(44)]);

/** Why a greeting failed. */
export type GreetingFailure = 'proof' | 'malformed' | 'identity' | 'timeout' | 'closed';

/** Outcome handlers of a greeting; exactly one of them is called, once. */
export interface GreetingOptions {
  readonly self: PeerIdentity;
  readonly secret: Buffer;
  /** Called in the tick of the last greeting message, so that no message is missed. */
  readonly onAuthenticated: (peer: PeerIdentity) => void;
  readonly onFailed: (failure: GreetingFailure) => void;
}

const toIdentity = (vmId: string, bootId: string): PeerIdentity => ({
  vmId: toId(vmId),
  bootId: toId(bootId),
});

type StepResult = 'next' | PeerIdentity | GreetingFailure;

/** Feeds received messages to the steps of a greeting until it ends. */
const runSteps = (
  socket: WebSocket,
  options: GreetingOptions,
  accept: (message: unknown) => StepResult,
): void => {
  let timer: NodeJS.Timeout;
  const finish = (): void => {
    clearTimeout(timer);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the listeners end each other
    socket.off('message', onMessage).off('close', onClose);
  };
  const fail = (failure: GreetingFailure): void => {
    finish();
    socket.terminate();
    options.onFailed(failure);
  };
  const onClose = (): void => fail('closed');
  const onMessage = (data: RawData): void => {
    const bytes = data as Buffer;
    const result = bytes.length > MAX_GREETING_BYTES ? 'malformed' : accept(decodeValue(bytes));
    if (result === 'next') return;
    if (typeof result === 'string') {
      fail(result);
      return;
    }
    finish();
    options.onAuthenticated(result);
  };
  timer = setTimeout(() => fail('timeout'), GREETING_TIMEOUT_MS);
  socket.on('message', onMessage).on('close', onClose);
};

/** Greets a peer that has connected to this VM. */
export const acceptGreeting = (socket: WebSocket, options: GreetingOptions): void => {
  const { self, secret } = options;
  const listenerNonce = makeNonce();
  runSteps(socket, options, (message) => {
    const response = responseSchema.safeParse(message);
    if (!response.success) return 'malformed';
    const [vmId, bootId, dialerNonce, proof] = response.data;
    const dialer = toIdentity(vmId, bootId);
    const greeting: Greeting = { dialer, listener: self, dialerNonce, listenerNonce };
    if (!verifyProof(secret, 'dialer', greeting, proof)) return 'proof';
    if (dialer.vmId === self.vmId) return 'identity';
    socket.send(encodeValue([proveSecret(secret, 'listener', greeting)]));
    return dialer;
  });
  socket.send(encodeValue([self.vmId, self.bootId, listenerNonce]));
};

/** Greets a peer that this VM has connected to; `expected` is the VM that should listen there. */
export const beginGreeting = (
  socket: WebSocket,
  expected: PeerIdentity['vmId'],
  options: GreetingOptions,
): void => {
  const { self, secret } = options;
  let greeting: Greeting | undefined;
  const acceptChallenge = (message: unknown): StepResult => {
    const challenge = challengeSchema.safeParse(message);
    if (!challenge.success) return 'malformed';
    const [vmId, bootId, listenerNonce] = challenge.data;
    if (vmId !== expected) return 'identity';
    const listener = toIdentity(vmId, bootId);
    greeting = { dialer: self, listener, dialerNonce: makeNonce(), listenerNonce };
    const proof = proveSecret(secret, 'dialer', greeting);
    socket.send(encodeValue([self.vmId, self.bootId, greeting.dialerNonce, proof]));
    return 'next';
  };
  runSteps(socket, options, (message) => {
    if (!greeting) return acceptChallenge(message);
    const confirmation = confirmationSchema.safeParse(message);
    if (!confirmation.success) return 'malformed';
    const proved = verifyProof(secret, 'listener', greeting, confirmation.data[0]);
    return proved ? greeting.listener : 'proof';
  });
};
