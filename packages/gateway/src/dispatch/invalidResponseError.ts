import { ConnectionError } from './connectionError.js';

/** An upstream sent what is no HTTP response. */
export class InvalidResponseError extends ConnectionError {}
