import type { RegionId, ServiceName } from '../ids.js';

/** A service that a route sends requests to, with its traffic weight. */
export interface Destination {
  readonly service: ServiceName;
  /** Traffic weight relative to the other destinations; 0 sends no requests. */
  readonly weight: number;
}

/** Routing rule for one host and path prefix. */
export interface RouteRule {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly destinations: readonly Destination[];
  /** Whether responses are event streams. */
  readonly streaming: boolean;
  /** Whether a stream may be resumed at another upstream after its last event. */
  readonly resumable: boolean;
  /** Whether a request may be executed more than once. */
  readonly idempotent: boolean;
  /** Timeout for the complete response, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective for a response or a stream's first event, in milliseconds. */
  readonly objectiveMs: number;
  /** Latency objective for the gap between two events of a stream, in milliseconds. */
  readonly gapObjectiveMs: number | undefined;
  /** Maximum number of upstreams that a request may be sent to. */
  readonly maxUpstreams: number;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Whether requests need no API key. */
  readonly anonymous: boolean;
  /** Whether requests carry a prompt whose prefixes engines cache. */
  readonly carriesPrompt: boolean;
  /** Regions whose upstreams may serve the route; empty for all regions. */
  readonly regions: readonly RegionId[];
}
