/** Limits on the rate of requests that all VMs together send to an upstream. */
export { AnnouncedRates } from './announcedRates.js';
export type { AnnouncedRate, RateChange, RateRow } from './bootAnnouncements.js';
export { FleetRateLimits } from './fleetRateLimits.js';
export type { FleetRateLimitsOptions, RateDemand, RateLimitDump } from './fleetRateLimits.js';
export type {
  PermitRequest,
  PermitDecision,
  PermitDenial,
  PermitGrant,
  PermitReply,
} from './permit.js';
