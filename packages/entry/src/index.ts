/** The entry daemon. */
export * from './controllers/controller.js';
export * from './controllers/membership/index.js';
export * from './controllers/onceController/index.js';
export * from './controllers/slots/index.js';
export * from './controllers/tableController/index.js';
export * from './filters/exchange.js';
export * from './filters/filter.js';
export * from './filters/onceFilter.js';
export * from './mesh/index.js';
export * from './controllers/upstreams/loadReport.js';
export * from './controllers/upstreams/upstreamState.js';
export * from './dispatch/attempt.js';
export * from './dispatch/upstreamDirectory.js';
export * from './filters/admissionFilter.js';
export * from './filters/chain.js';
export { DispatchFilter } from './filters/dispatchFilter.js';
export type { DispatchOptions } from './filters/dispatchFilter.js';
