/** Contract of the append-only log, its in-memory form, and how to retry calls. */
export * from './backoff.js';
export * from './logError.js';
export * from './logStream.js';
export * from './memoryLog.js';
export * from './sleep.js';
