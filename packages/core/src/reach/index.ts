/** Whether this VM reaches the upstreams. */
export { UpstreamReach } from './upstreamReach.js';
export type { ReachChange, UpstreamReachOptions } from './upstreamReach.js';
