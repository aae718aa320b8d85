/** Leases that VMs acquire through a log stream. */
export * from './constants.js';
export * from './clockReading.js';
export * from './leaseManager.js';
export * from './leaseRecord.js';
export * from './leaseTable.js';
export * from './conditionalLease.js';
export * from './leaseStream.js';
