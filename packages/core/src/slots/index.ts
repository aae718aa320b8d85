/** Fleet-wide concurrency limits per upstream, divided into slots that VMs are granted. */
export * from './constants.js';
export * from './fairLimit.js';
export * from './aimdLimit.js';
export * from './upstreamSlots.js';
export * from './slotGroup.js';
export * from './slotLedger.js';
export * from './slotMessages.js';
export * from './slotPolicy.js';
