/** Thrown when data from a feed connection is invalid or fails authentication. */
export class FeedError extends Error {
  override readonly name = 'FeedError';
}
