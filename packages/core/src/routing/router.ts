import type {
  AvailabilityZoneId,
  BlockKey,
  BootId,
  ClientAccountId,
  ModelId,
  UpstreamId,
  WeightVersion,
} from '../ids.js';
import type { WorkloadRow } from '../configTable/rows.js';

/** One block of a prompt; blocks are ordered from the beginning of the prompt. */
export interface PromptBlock {
  readonly key: BlockKey;
  readonly tokens: number;
}

/** Last known state of an upstream; the load figures may be stale. */
export interface UpstreamView {
  readonly upstreamId: UpstreamId;
  readonly role: 'engine' | 'service';
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly bootId: BootId;
  readonly model?: ModelId;
  readonly weightVersion?: WeightVersion;
  /**
   * Whether it may get new requests: zone in, not leaving, breaker not open, load figures recent.
   */
  readonly eligible: boolean;
  readonly cold: boolean;
  readonly running: number;
  readonly waiting: number;
  readonly waitingPromptTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly maxConcurrent: number;
  /** Maximum number of concurrent requests while it is cold. */
  readonly coldConcurrent: number;
  /** Age of the load figures, in milliseconds. */
  readonly ageMs: number;
  /** Requests that this VM has dispatched since the load figures were reported. */
  readonly dispatchedSince: number;
  /** Prompt tokens of those requests that have to be computed. */
  readonly dispatchedTokensSince: number;
}

/** A request to be routed. */
export interface RouteRequest {
  readonly accountId: ClientAccountId;
  readonly workload: WorkloadRow;
  readonly blocks: readonly PromptBlock[];
  readonly promptTokens: number;
  /** Weight version that the request requires. */
  readonly weightVersion?: WeightVersion;
  /** Upstreams at which this request has already failed. */
  readonly excludedUpstreams: ReadonlySet<UpstreamId>;
  /** Availability zones that a retry avoids if possible. */
  readonly avoidedZones: ReadonlySet<AvailabilityZoneId>;
}

/** A block to copy from a store VM to the chosen upstream before the request runs. */
export interface BlockImport {
  readonly key: BlockKey;
  readonly storeId: UpstreamId;
  readonly name: string;
  readonly bytes: number;
}

/** The upstream chosen for a request. */
export interface Route {
  readonly upstreamId: UpstreamId;
  /** Blocks to import first; empty if recomputing costs less. */
  readonly imports: readonly BlockImport[];
  readonly estimatedFirstTokenMs: number;
  readonly expectedCachedTokens: number;
}

/** Chooses an upstream for a request. */
export abstract class Router {
  /** @returns undefined if no upstream is eligible */
  abstract choose(request: RouteRequest, upstreams: readonly UpstreamView[]): Route | undefined;
}
