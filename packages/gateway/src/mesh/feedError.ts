/** The bytes of a connection are not those of the VM at its other end. */
export class FeedError extends Error {
  override readonly name = 'FeedError';
}
