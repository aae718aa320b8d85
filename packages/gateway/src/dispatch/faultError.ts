/** An unexpected error of this program while it handled an exchange; its cause tells what was thrown. */
export class FaultError extends Error {
  override readonly name = 'FaultError';
}
