export { computeCallerDeadlineMs } from './callerDeadline.js';
export type { RequestArrival } from './callerDeadline.js';
export { trackCaller } from './callerConnection.js';
export { BodyBuffer } from './bodyBuffer.js';
export { ByteBudget, computeBufferBytes } from './byteBudget.js';
export { ByteReservation } from './byteReservation.js';
export { ResponseTooLargeError, readResponseBody } from './readResponseBody.js';
export { readRequestBody } from './readRequestBody.js';
export type { ReadBodyOptions } from './readRequestBody.js';
