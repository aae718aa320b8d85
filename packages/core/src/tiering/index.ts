/** Tiering of KV cache blocks to store VMs, and verified reads of stored blocks. */
export * from './blockFaultError.js';
export * from './blockReader.js';
export * from './blockReclaimer.js';
export * from './blockFingerprint.js';
export * from './exportQueue.js';
export * from './linkBudget.js';
export * from './reuseModel.js';
export * from './singleFlight.js';
export * from './storeCatalog.js';
export * from './tieringPlanner.js';
export * from './verifyingBlockReader.js';
export * from './accessTracker.js';
