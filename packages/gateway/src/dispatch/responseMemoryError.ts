import { ConnectionError } from './connectionError.js';

/** There is no memory for what has to be held of a response. */
export class ResponseMemoryError extends ConnectionError {
  /** @param neededBytes memory for all that has to be held of it at once */
  constructor(
    message: string,
    readonly neededBytes: number,
  ) {
    super(message);
  }
}
