/** Concurrency slots of upstreams, shared by all entry VMs. */
export { GroupLeaseManager } from './groupKeeper.js';
export type { GroupLeaseManagerOptions } from './groupKeeper.js';
export { SlotsController } from './slotsController.js';
export type { SlotFleet, SlotsOptions } from './slotsController.js';
