import { ConnectionError } from './connectionError.js';

/** An upstream sent something other than a valid response to the request. */
export class InvalidResponseError extends ConnectionError {}
