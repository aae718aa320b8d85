import { ConnectionError } from './connectionError.js';

/** There is no memory for what has to be held of a response. */
export class ResponseMemoryError extends ConnectionError {}
