import { ConnectionError } from './connectionError.js';

/** Why this VM gave a response up; a label in the metrics. */
export type AbandonReason =
  'response_size' | 'event_size' | 'part_size' | 'memory' | 'head' | 'syntax' | 'mismatch';

/** An upstream sent something other than a valid response to the request. */
export class InvalidResponseError extends ConnectionError {
  constructor(
    message: string,
    readonly reason: AbandonReason,
  ) {
    super(message);
  }
}
