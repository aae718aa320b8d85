/** Thrown if a store lists more than it holds. */
export class FaultyStoreError extends Error {
  override readonly name = 'FaultyStoreError';
}
