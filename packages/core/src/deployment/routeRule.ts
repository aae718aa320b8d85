import type { RegionId, ServiceName } from '../ids.js';

/** A service that a route sends requests to, and its share of them. */
export interface Destination {
  readonly service: ServiceName;
  /** Share relative to the other destinations; 0 sends none. */
  readonly weight: number;
}

/** How the requests of one host and path prefix are served. */
export interface RouteRule {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly destinations: readonly Destination[];
  /** Whether answers are event streams. */
  readonly streaming: boolean;
  /** Whether a stream may go on at another upstream after its last event. */
  readonly resumable: boolean;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** Longest time that a caller is kept waiting for the whole answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer, or a stream's first event, is on time, in milliseconds. */
  readonly objectiveMs: number;
  /** Longest pause between events of a stream that is on time, in milliseconds. */
  readonly gapObjectiveMs: number | undefined;
  /** Upstreams to which one request may be sent. */
  readonly maxUpstreams: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly anonymous: boolean;
  /** Whether requests carry a prompt whose parts engines cache. */
  readonly carriesPrompt: boolean;
  /** Regions whose upstreams may serve it; empty where all may. */
  readonly regions: readonly RegionId[];
}
