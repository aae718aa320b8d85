/**
 * At-most-once execution of non-idempotent requests: claim shards served by this VM, and the
 * guard for filters.
 */
export * from './idempotencyController.js';
