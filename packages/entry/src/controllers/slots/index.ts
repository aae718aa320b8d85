/** Slots of upstreams, shared by all entry VMs. */
export { GroupKeeper } from './groupKeeper.js';
export type { GroupKeeperOptions } from './groupKeeper.js';
export { SlotsController } from './slotsController.js';
export type { SlotFleet, SlotsOptions } from './slotsController.js';
