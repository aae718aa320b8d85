/** Unrepeatable requests: claims in the log, their shards, and who may run. */
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
