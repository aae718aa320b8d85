import type { AvailabilityZoneId, ClientAccountId, RegionId, ServiceName } from '../ids.js';
import type { RouteRule } from './routeRule.js';

/** Settings of a service and its upstreams. */
export interface ServiceSettings {
  readonly name: ServiceName;
  /** Maximum connections that one upstream accepts from all senders combined. */
  readonly connectionLimit: number;
  /** Duration of an upstream's cold start, in milliseconds. */
  readonly coldStartMs: number;
  /** Requests per second that a cold upstream can handle; 0 if the service has no cold start. */
  readonly coldRequestsPerSecond: number;
  /** Defined if the upstreams are model engines. */
  readonly engine: EngineSettings | undefined;
}

/** Cache capacity and models of a service's engines. */
export interface EngineSettings {
  /** Cache bytes per token. */
  readonly bytesPerToken: number;
  /** Cache capacity of one engine's memory, in tokens. */
  readonly capacityTokens: number;
  readonly models: readonly string[];
  /** Requests that one engine processes at the same time; undefined if not configured. */
  readonly slots?: number | undefined;
  /** Bandwidth of one engine's link, in Mbit/s; undefined if not configured. */
  readonly linkMbps?: number | undefined;
  /** Whether an engine copies the memory of a request to another engine while it runs. */
  readonly canBackUp?: boolean | undefined;
  /** Whether the memory of a running request can be moved to another engine. */
  readonly canMove?: boolean | undefined;
  /** Time for which an engine keeps a copy that nobody uses, in milliseconds. */
  readonly copyTtlMs?: number | undefined;
}

/** An external store of cache blocks. */
export interface BlockStoreSettings {
  readonly name: string;
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly capacityTokens: number;
  readonly linkMbps: number;
  /** First-byte latency added to each transfer, in milliseconds. */
  readonly firstByteMs: number;
  /** Maximum concurrent readers of its event stream. */
  readonly maxEventReaders: number;
  /** Whether the store keeps blocks until they are explicitly freed. */
  readonly managed: boolean;
}

/** A client account and its API keys. */
export interface DeployedAccount {
  readonly id: ClientAccountId;
  readonly keys: readonly string[];
  /** Priority that overrides the route's; undefined to use the route's. */
  readonly priority: number | undefined;
  /** Whether the account shares no cache blocks with other accounts. */
  readonly isolated: boolean;
  /** Regions whose upstreams may serve the account; empty for all regions. */
  readonly regions: readonly RegionId[];
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A version of the operators' configuration. */
export interface Deployment {
  readonly version: number;
  readonly routes: readonly RouteRule[];
  readonly services: readonly ServiceSettings[];
  readonly blockStores: readonly BlockStoreSettings[];
  /** Empty if requests need no API key. */
  readonly accounts: readonly DeployedAccount[];
  readonly callerLimits: CallerLimits;
}
