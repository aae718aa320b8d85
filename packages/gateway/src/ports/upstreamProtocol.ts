import type {
  EpochProof,
  ModelId,
  StoredBlockChange,
  ReportedLoad,
  UpstreamId,
  WeightNumber,
} from '@goldcrestscale/core';
import type { GatewayExchange } from '../filters/gatewayExchange.js';

/** Block stores from and to which the KV blocks of a prompt are transferred; one entry per part. */
export interface BlockTransfers {
  /** Addresses to fetch from; undefined for a part that is not fetched. */
  readonly fetchAddresses: readonly (string | undefined)[];
  /** Addresses to save to; undefined for a part that is not saved. */
  readonly saveAddresses: readonly (string | undefined)[];
  /** Time on the servers' clock at which an unfinished fetch is abandoned and the part recomputed. */
  readonly fetchDeadlineMs: number | undefined;
  /** What was known of the stores that are fetched from, for the log. */
  readonly proofs: ReadonlyMap<string, EpochProof | undefined>;
}

/** Metadata that the gateway adds to an attempt at an upstream. */
export interface AttemptMetadata {
  readonly upstreamId: UpstreamId;
  /** Time left until the deadline. */
  readonly remainingMs: number;
  /** Urgency among queued requests; the lowest is served first. */
  readonly urgency: number | undefined;
  /** Separates the cached blocks of different weights and accounts. */
  readonly cacheSalt: string | undefined;
  /** Weight version that the upstream must run on. */
  readonly weights: WeightNumber | undefined;
  readonly transfers: BlockTransfers | undefined;
  /** Id of the last event that the caller has received. */
  readonly lastEventId: string | undefined;
}

/** Limit that an upstream announces in a response, for all VMs together. */
export interface AnnouncedLimitField {
  /** Undefined if it announces none. */
  readonly perSecond: number | undefined;
  /** An announcement that can't be read, for the log; it neither sets nor ends a limit. */
  readonly invalid: string | undefined;
}

/** The parsed head of an upstream's response. */
export interface ResponseHead {
  readonly status: number;
  /** Id of the request that this is the response to. */
  readonly requestId: string | undefined;
  /** The responding upstream, if the response identifies it. */
  readonly respondingUpstreamId: UpstreamId | undefined;
  /** Whether it carries the upstream's signature. */
  readonly isSigned: boolean;
  /** Whether it proves that the request was not executed. */
  readonly isNotExecuted: boolean;
  /** Whether the request was meant for another upstream or other weights. */
  readonly isMisdirected: boolean;
  readonly load: ReportedLoad | undefined;
  readonly weights: WeightNumber | undefined;
  readonly coldRemainingMs: number | undefined;
  /** Whether the upstream is about to leave and wants no further requests. */
  readonly isLeaving: boolean;
  /** Time for which a refusing upstream wants no requests from this VM; undefined if not given. */
  readonly restMs: number | undefined;
  /** A rest that is given but can't be read, for the log. */
  readonly invalidRest: string | undefined;
  /** Requests that it takes. */
  readonly announcedRate: AnnouncedLimitField;
  /** Requests that it can reject for want of room without failing. */
  readonly rejectionLimit: AnnouncedLimitField;
  /** Headers to forward to the caller, alternating names and values. */
  readonly forwardedHeaders: readonly string[];
}

/** State of an engine as reported by the engine. */
export interface EngineState {
  /** Whether a weight load is in progress. */
  readonly isBusy: boolean;
  /** Number of orders accepted since it started. */
  readonly acceptedOrders: number;
  /** Whether the engine is about to leave and wants no further requests. */
  readonly isLeaving: boolean;
  /** Requests that it takes. */
  readonly announcedRate: AnnouncedLimitField;
  readonly weights: ReadonlyMap<ModelId, WeightNumber>;
}

/** An order to an engine to load weights. */
export interface WeightLoadOrder {
  readonly model: ModelId;
  readonly wanted: WeightNumber;
  readonly holder: string;
  readonly fencingToken: number;
  /** Precondition: the number of orders that the engine has accepted. */
  readonly expectedOrders: number;
}

/** Result of an order. */
export type OrderOutcome = 'accepted' | 'done' | 'conflict' | 'fenced' | 'moved' | 'failed';

/** Options of a control call to an upstream. */
export interface UpstreamCallOptions {
  readonly address: string;
  readonly upstreamId: UpstreamId;
  readonly signal: AbortSignal;
}

/** A batch of events of a block store. */
export interface BlockEvents {
  /** Changes whenever the store restarts. */
  readonly epoch: number;
  readonly nextOffset: number;
  /** Time on the servers' clock; undefined if the store does not report it. */
  readonly clockMs: number | undefined;
  /** Whether events before this batch were lost. */
  readonly hasGap: boolean;
  readonly changes: readonly StoredBlockChange[];
}

/** Query for the events of a block store after an offset. */
export interface BlockEventsQuery {
  readonly address: string;
  readonly since: number;
  readonly longPollMs: number;
  readonly signal: AbortSignal;
}

/** Protocol between the gateway and its upstreams. */
export abstract class UpstreamProtocol {
  /** Builds the headers of an attempt, alternating names and values. */
  abstract buildHeaders(exchange: GatewayExchange, metadata: AttemptMetadata): string[];

  abstract parseResponseHead(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    rawHeaders: readonly string[],
  ): ResponseHead;

  /** @throws if the engine gives no valid response */
  abstract readEngineState(options: UpstreamCallOptions): Promise<EngineState>;

  /** @throws if no response arrived; the order may still be executed later */
  abstract sendOrder(order: WeightLoadOrder, options: UpstreamCallOptions): Promise<OrderOutcome>;

  /** @throws if the store gives no valid response */
  abstract readBlockEvents(query: BlockEventsQuery): Promise<BlockEvents>;

  /** Frees blocks of a store by key. @throws if the store gives no valid response */
  abstract releaseBlocks(
    address: string,
    epoch: number,
    keys: readonly string[],
    signal: AbortSignal,
  ): Promise<void>;

  abstract close(): void;
}
