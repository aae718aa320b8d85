/** Structured logging. */
export { createNonBlockingStream } from './nonBlockingStream.js';
export type { NonBlockingStream } from './nonBlockingStream.js';
export * from './logger.js';
export * from './logSettings.js';
export * from './redact.js';
