/** Leases that VMs acquire through a log stream. */
export * from './constants.js';
export * from './elapsedTime.js';
export * from './leaseKeeper.js';
export * from './leaseRecord.js';
export * from './leaseTable.js';
export * from './conditionalLease.js';
export * from './leaseStream.js';
