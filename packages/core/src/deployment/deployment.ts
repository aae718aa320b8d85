import type { AvailabilityZoneId, ClientAccountId, RegionId, ServiceName } from '../ids.js';
import type { RouteRule } from './routeRule.js';

/** A service whose upstreams answer requests. */
export interface ServiceSettings {
  readonly name: ServiceName;
  /** Connections that one upstream accepts from all callers together. */
  readonly connectionLimit: number;
  /** Time for which an upstream stays cold after a start, in milliseconds. */
  readonly coldStartMs: number;
  /** Requests a second that a cold upstream bears; 0 where the service has no cold start. */
  readonly coldRequestsPerSecond: number;
  /** Present where the upstreams are model engines. */
  readonly engine: EngineSettings | undefined;
}

/** What the engines of a service hold. */
export interface EngineSettings {
  /** Bytes of cache that one token takes. */
  readonly bytesPerToken: number;
  /** Tokens that one engine's memory holds. */
  readonly capacityTokens: number;
  readonly models: readonly string[];
}

/** A store of cache blocks beside the engines. */
export interface BlockStoreSettings {
  readonly name: string;
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly capacityTokens: number;
  readonly linkMbps: number;
  /** Added to each transfer, in milliseconds. */
  readonly firstByteMs: number;
  /** Readers of its events that it accepts at once. */
  readonly maxEventReaders: number;
  /** Whether it keeps all blocks until it is told to free them. */
  readonly managed: boolean;
}

/** A client account and its keys. */
export interface DeployedAccount {
  readonly id: ClientAccountId;
  readonly keys: readonly string[];
  /** Rank that replaces the route's; undefined where the route's holds. */
  readonly priority: number | undefined;
  /** Whether it shares no cache block with another account. */
  readonly isolated: boolean;
  /** Regions whose upstreams may serve it; empty where all may. */
  readonly regions: readonly RegionId[];
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operators' configuration. */
export interface Deployment {
  readonly version: number;
  readonly routes: readonly RouteRule[];
  readonly services: readonly ServiceSettings[];
  readonly blockStores: readonly BlockStoreSettings[];
  /** Empty where requests need no key. */
  readonly accounts: readonly DeployedAccount[];
  readonly callerLimits: CallerLimits;
}
