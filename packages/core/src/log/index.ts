/** Contract of the append-only log, its in-memory form, and how records reach it. */
export * from './appendBudget.js';
export * from './appender.js';
export * from './backoff.js';
export * from './batchingAppender.js';
export * from './logError.js';
export * from './logStream.js';
export * from './memoryLog.js';
export * from './sleep.js';
