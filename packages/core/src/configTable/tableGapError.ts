/** Thrown if the log has trimmed records that no snapshot covers. */
export class TableGapError extends Error {
  override readonly name = 'TableGapError';
}
