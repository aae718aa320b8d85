/** Thrown when the records at a position have been trimmed from the log. */
export class LogTrimmedError extends Error {
  override readonly name = 'LogTrimmedError';

  /** @param firstOffset offset of the oldest record that is left, if known */
  constructor(
    message: string,
    readonly firstOffset?: number,
  ) {
    super(message);
  }
}
