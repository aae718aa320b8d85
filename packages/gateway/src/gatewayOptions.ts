import type { Logger } from '@goldcrestscale/runtime';
import type { GatewaySettings } from './config.js';
import type { GatewayMetrics } from './metrics.js';
import type { CallerProtocol, RecordCodec, SharedLog, UpstreamProtocol } from './ports/index.js';

/** Options of the gateway. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly log: SharedLog;
  readonly codec: RecordCodec;
  readonly callerProtocol: CallerProtocol;
  readonly upstreamProtocol: UpstreamProtocol;
  /** Aborts to start a graceful shutdown. */
  readonly signal: AbortSignal;
  /** Called with a function that counts the open requests. */
  readonly onServing?: (countOpenRequests: () => number) => void;
}
