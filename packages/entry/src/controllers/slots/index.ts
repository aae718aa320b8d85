/** Concurrency slots of upstreams, shared by all entry VMs. */
export { GroupLeaseManager } from './groupLeaseManager.js';
export type { GroupLeaseManagerOptions } from './groupLeaseManager.js';
export { SlotsController } from './slotsController.js';
export type { SlotFleet, SlotsOptions } from './slotsController.js';
