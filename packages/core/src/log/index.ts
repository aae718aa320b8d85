/** Interface of the append-only log, an in-memory implementation, and batched appends. */
export * from './appendBudget.js';
export * from './appender.js';
export * from './backoff.js';
export * from './batchingAppender.js';
export * from './logError.js';
export * from './logStream.js';
export * from './memoryLog.js';
export * from './sleep.js';
