import type { LogOffset } from '../ids.js';

/** Why a log call failed. */
export type LogFailure =
  /** The log refused the call; nothing was appended. */
  | 'refused'
  /** The log was unreachable or its response was lost; an append may have taken effect. */
  | 'unknown'
  /** The requested offset has been trimmed. */
  | 'trimmed';

/** Failure of a log call. */
export class LogError extends Error {
  override readonly name = 'LogError';

  constructor(
    message: string,
    readonly failure: LogFailure,
    /** Oldest retained offset; only with `trimmed`. */
    readonly firstOffset?: LogOffset,
  ) {
    super(message);
  }
}
