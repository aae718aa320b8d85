/** Exit codes of every binary. */
export const exitCodes = {
  /** Done. */
  ok: 0,
  /** Failed while it ran. */
  failure: 1,
  /** Wrong flags, arguments or settings. */
  usage: 2,
  /** Refused: the request or edit was not accepted. */
  refused: 3,
  /** The system or the platform could not be reached. */
  unavailable: 4,
} as const;

/** Exit code of a binary. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
