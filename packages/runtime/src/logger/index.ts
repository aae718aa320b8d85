/** Structured logging. */
export { createBoundedStream } from './boundedStream.js';
export type { NonBlockingStream } from './boundedStream.js';
export * from './logger.js';
export * from './logSettings.js';
export * from './redact.js';
