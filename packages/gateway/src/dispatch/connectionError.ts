/** The connection failed before anything could be sent on it. */
export class ConnectionError extends Error {
  override readonly name = 'ConnectionError';
}
