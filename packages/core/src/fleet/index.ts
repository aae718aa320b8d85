/** Upstreams and entry VMs as the log tells of them. */
export { ENTRY_SHARE_MS, ENTRY_SILENCE_MS, LAPSE_GRACE_MS } from './constants.js';
export { pickForCallers } from './callerEntries.js';
export { EntryRoster } from './entryRoster.js';
export type { EntryHeartbeat } from './entryRoster.js';
export { PeerLoads } from './peerLoads.js';
export type { PeerLoad } from './peerLoads.js';
export type { HeldWeights, RegisteredUpstream } from './registeredUpstream.js';
export { TrackedUpstream } from './trackedUpstream.js';
export type { ToldLoad } from './trackedUpstream.js';
export { UpstreamRegistry } from './upstreamRegistry.js';
export type { RegistryChange } from './upstreamRegistry.js';
export { ZoneRelays } from './zoneRelays.js';
