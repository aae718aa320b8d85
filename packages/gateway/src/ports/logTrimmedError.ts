/** The records at the wanted position are no longer kept. */
export class LogTrimmedError extends Error {
  override readonly name = 'LogTrimmedError';
}
