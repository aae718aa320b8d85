/** At-most-once execution of non-idempotent requests: log-based claims, shards and the guard. */
export * from './constants.js';
export * from './logIdempotencyGuard.js';
export * from './claimErrors.js';
export * from './idempotencyGuard.js';
export * from './idempotencyKey.js';
export * from './records.js';
export * from './shardAccess.js';
export * from './shardMessages.js';
export * from './shardServer.js';
export * from './shardState.js';
export * from './timeout.js';
