/** Unrepeatable requests: shards served here, and the guard that filters ask. */
export * from './onceController.js';
