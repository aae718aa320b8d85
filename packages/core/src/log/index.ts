/** Contract of the append-only log and its in-memory form. */
export * from './logError.js';
export * from './logStream.js';
export * from './memoryLog.js';
