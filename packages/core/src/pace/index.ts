/** Slow start of upstreams that have just started, or get requests again. */
export { UpstreamPaces } from './upstreamPaces.js';
export type { PaceChange, UpstreamPacesOptions } from './upstreamPaces.js';
export type { PaceSenders, UpstreamPace } from './upstreamPace.js';
