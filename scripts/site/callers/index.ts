/** Callers of a site, for the demo and the process tests. */
export * from './attemptResult.js';
export * from './caller.js';
export * from './entryDirectory.js';
export * from './idempotencyKey.js';
export * from './conversation.js';
export * from './stretchFigures.js';
export * from './trafficSource.js';
export * from './unrepeatableLedger.js';
