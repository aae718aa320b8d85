/** At-most-once execution of non-idempotent requests: log-based claims, shards and the guard. */
export * from './constants.js';
export * from './logOnceGuard.js';
export * from './onceErrors.js';
export * from './onceGuard.js';
export * from './onceKey.js';
export * from './records.js';
export * from './shardAccess.js';
export * from './shardMessages.js';
export * from './shardServer.js';
export * from './shardState.js';
export * from './timeout.js';
