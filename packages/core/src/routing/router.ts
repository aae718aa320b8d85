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

/** One piece of a prompt, in order from its beginning. */
export interface PromptBlock {
  readonly key: BlockKey;
  readonly tokens: number;
}

/** What is known of an upstream at this moment; load figures lag. */
export interface UpstreamView {
  readonly upstreamId: UpstreamId;
  readonly role: 'engine' | 'service';
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly bootId: BootId;
  readonly model?: ModelId;
  readonly weightVersion?: WeightVersion;
  /** Whether it may get new work: zone in, not leaving, breaker closed, fresh enough. */
  readonly eligible: boolean;
  readonly cold: boolean;
  readonly running: number;
  readonly waiting: number;
  readonly waitingPromptTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly maxConcurrent: number;
  /** Requests that it bears at once while it is cold. */
  readonly coldConcurrent: number;
  /** Age of the load figures, in milliseconds. */
  readonly ageMs: number;
  /** Requests that this VM has dispatched since the load figures were taken. */
  readonly dispatchedSince: number;
  /** Prompt tokens to compute of those requests. */
  readonly dispatchedTokensSince: number;
}

/** A request that needs an upstream. */
export interface RouteRequest {
  readonly accountId: ClientAccountId;
  readonly workload: WorkloadRow;
  readonly blocks: readonly PromptBlock[];
  readonly promptTokens: number;
  /** Weight version that the request must run on. */
  readonly weightVersion?: WeightVersion;
  /** Upstreams that have failed this request already. */
  readonly excluded: ReadonlySet<UpstreamId>;
  /** Availability zones that a retry keeps away from where it can. */
  readonly avoidedZones: ReadonlySet<AvailabilityZoneId>;
}

/** A block to copy from a store VM to the chosen upstream before the request runs there. */
export interface BlockImport {
  readonly key: BlockKey;
  readonly storeId: UpstreamId;
  readonly name: string;
  readonly bytes: number;
}

/** The upstream chosen for a request. */
export interface Route {
  readonly upstreamId: UpstreamId;
  /** Blocks to import first; empty where recomputing is faster. */
  readonly imports: readonly BlockImport[];
  readonly estimatedFirstTokenMs: number;
  readonly expectedCachedTokens: number;
}

/** Chooses an upstream for a request. */
export abstract class Router {
  /** @returns undefined where no upstream is eligible */
  abstract choose(request: RouteRequest, upstreams: readonly UpstreamView[]): Route | undefined;
}
