/** Thrown when the records at a position have been trimmed from the log. */
export class LogTrimmedError extends Error {
  override readonly name = 'LogTrimmedError';
}
