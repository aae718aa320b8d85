import type { Logger } from '@goldcrestscale/runtime';
import type { GatewaySettings } from './config.js';
import type { GatewayMetrics } from './metrics.js';
import type { CallerProtocol, RecordCodec, SharedLog, UpstreamProtocol } from './ports/index.js';

/** What the gateway is started with. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly log: SharedLog;
  readonly codec: RecordCodec;
  readonly callers: CallerProtocol;
  readonly upstreams: UpstreamProtocol;
  /** Aborts when the gateway is to shut down. */
  readonly signal: AbortSignal;
}
