import { PathError } from './pathError.js';

/** Thrown when a connection fails before a request is sent on it. */
export class ConnectionError extends Error {
  override readonly name = 'ConnectionError';
}

/** Codes of a connect that this machine refused, for want of descriptors, ports or memory. */
const SOCKET_SHORTAGE_CODES: ReadonlySet<unknown> = new Set([
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
  'EADDRNOTAVAIL',
]);

/** Finds out why a connect failed; a shortage of sockets on this VM tells nothing about its peer. */
export const findConnectFailure = (error: Error): 'no-socket' | 'no-path' | 'unreachable' => {
  if (error instanceof PathError) return 'no-path';
  return 'code' in error && SOCKET_SHORTAGE_CODES.has(error.code) ? 'no-socket' : 'unreachable';
};
