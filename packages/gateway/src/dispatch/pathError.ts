/**
 * Thrown when no other VM can take a connection to an upstream, or the connection to one that did is
 * lost; it tells nothing about the upstream.
 */
export class PathError extends Error {
  override readonly name = 'PathError';
}
