/** Thrown when a connection fails before a request is sent on it. */
export class ConnectionError extends Error {
  override readonly name = 'ConnectionError';
}
