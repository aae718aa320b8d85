/** Leases that VMs hold through a stream of the log. */
export * from './constants.js';
export * from './elapsedTime.js';
export * from './leaseKeeper.js';
export * from './leaseRecord.js';
export * from './leaseTable.js';
export * from './conditionalLease.js';
export * from './leaseStream.js';
