/** Exit codes of all binaries. */
export const exitCodes = {
  /** Success. */
  ok: 0,
  /** Failure at run time. */
  failure: 1,
  /** Invalid flags, arguments or settings. */
  usage: 2,
  /** Refused: the request or edit was not accepted. */
  refused: 3,
  /** The system or the platform could not be reached. */
  unavailable: 4,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
