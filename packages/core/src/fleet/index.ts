/** Upstreams and entry VMs known from the log. */
export {
  ENTRY_SENDER_TIMEOUT_MS,
  ENTRY_HEARTBEAT_TIMEOUT_MS,
  LOG_OUTAGE_GRACE_MS,
  MIN_CALLER_SHARE,
  REQUESTS_STALL_TIMEOUT_MS,
  ROSTER_LAG_MS,
} from './constants.js';
export { CallerShare } from './callerShare.js';
export { pickCallerEntries } from './callerEntries.js';
export { EntryRoster } from './entryRoster.js';
export type { EntryHeartbeat } from './entryRoster.js';
export { PeerLoads } from './peerLoads.js';
export type { PeerLoad } from './peerLoads.js';
export type { LoadedWeights, RegisteredUpstream, UpstreamBoot } from './registeredUpstream.js';
export { ServiceSpeed } from './serviceSpeed.js';
export { UpstreamSpeed } from './upstreamSpeed.js';
export type { SpeedSample } from './upstreamSpeed.js';
export { RunTimes } from './runTimes.js';
export { TrackedUpstream } from './trackedUpstream.js';
export type { ReportedLoad } from './trackedUpstream.js';
export { UpstreamRegistry } from './upstreamRegistry.js';
export type { RegistryChange, UpstreamMembership } from './upstreamRegistry.js';
export { ZoneRelays } from './zoneRelays.js';
