/** Gateway that forwards callers' requests to upstreams, over protocols that a platform implements. */
export { GatewaySettingsError, loadGatewaySettings, resolveGatewaySettings } from './config.js';
export type { FleetBounds, GatewaySettings } from './config.js';
export type { GatewayExchange } from './filters/gatewayExchange.js';
export { runGateway } from './gateway.js';
export type { GatewayOptions } from './gatewayOptions.js';
export { createGatewayMetrics } from './metrics.js';
export type { GatewayMetrics } from './metrics.js';
export * from './ports/index.js';
export { RequestLog } from './requestLog.js';
export type { RequestLogOptions } from './requestLog.js';
