import type { LogOffset } from '../ids.js';

/** Why a log call failed. */
export type LogFailure =
  /** The log refused the call; nothing was appended. */
  | 'refused'
  /** The log was not reached or its answer was lost; an append may have taken effect. */
  | 'unknown'
  /** The offset asked for has been trimmed. */
  | 'trimmed';

/** Failure of a log call. */
export class LogError extends Error {
  override readonly name = 'LogError';

  constructor(
    message: string,
    readonly failure: LogFailure,
    /** Oldest offset still kept, given with `trimmed`. */
    readonly firstOffset?: LogOffset,
  ) {
    super(message);
  }
}
