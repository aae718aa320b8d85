/** Fleet membership: failure detection, configuration freshness and entry VM ranking. */
export * from './constants.js';
export * from './detectorMessage.js';
export * from './entryRanking.js';
export * from './failureDetector.js';
export * from './freshness.js';
export * from './fullMeshDetector.js';
export * from './grid.js';
export * from './gridHeartbeatDetector.js';
export * from './gridProbingDetector.js';
export * from './logReports.js';
export * from './rendezvous.js';
export * from './swimDetector.js';
export * from './vm.js';
export * from './vmListSource.js';
