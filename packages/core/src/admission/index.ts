/** Admission control: fair shares, limits, priorities and deadlines of client accounts. */
export type { AccountState } from './accountState.js';
export { AdmissionPolicy } from './admissionPolicy.js';
export { AdmissionQueue } from './admissionQueue.js';
export type { AdmissionQueueOptions } from './admissionQueue.js';
export type { AdmissionPermit, AdmissionRequest } from './admissionRequest.js';
export { FairSharePolicy } from './fairSharePolicy.js';
export { IsolatedUsageExchange } from './isolatedUsageExchange.js';
export { PeerUsageExchange } from './peerUsageExchange.js';
export type { FleetPosition } from './peerUsageExchange.js';
export type { PoolState } from './poolState.js';
export { USAGE_REPORT_INTERVAL_MS } from './constants.js';
export { computeMaxMinShares } from './maxMinShares.js';
export type { ShareDemand } from './maxMinShares.js';
export { UsageExchange } from './usageExchange.js';
export type { AccountUsage, PeerUsage, PoolId } from './usageExchange.js';
export { UsageReporter, isFullReportRound } from './usageReporter.js';
export type { UpstreamUsage, UsageReport } from './usageReporter.js';
