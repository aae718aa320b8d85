import type {
  ModelId,
  StoredBlockChange,
  ToldLoad,
  UpstreamId,
  WeightNumber,
} from '@goldcrestscale/core';
import type { GatewayExchange } from '../filters/exchange.js';

/** Where the shared parts of a prompt come from and go to; one entry a part, in order. */
export interface BlockTransfers {
  /** Addresses to fetch from; undefined where a part is not fetched. */
  readonly fetchFrom: readonly (string | undefined)[];
  /** Addresses to save to; undefined where a part is not saved. */
  readonly saveTo: readonly (string | undefined)[];
  /** When an unfinished fetch is given up for a read, by the servers' clock. */
  readonly fetchUntilMs: number | undefined;
}

/** What the system adds to one attempt at an upstream. */
export interface AttemptFacts {
  readonly upstreamId: UpstreamId;
  /** Time that is left, in milliseconds. */
  readonly remainingMs: number;
  /** Rank among waiting requests; 0 comes first. */
  readonly urgency: number | undefined;
  /** Keeps cached blocks of weights and accounts apart. */
  readonly cacheSalt: string | undefined;
  /** Weights that the upstream must run on. */
  readonly weights: WeightNumber | undefined;
  readonly transfers: BlockTransfers | undefined;
  /** Last event that the caller has got. */
  readonly lastEventId: string | undefined;
}

/** What the head of an upstream's answer says. */
export interface AnswerHead {
  readonly status: number;
  /** Request that it answers. */
  readonly requestId: string | undefined;
  /** Upstream that has answered, where it says so. */
  readonly answeredBy: UpstreamId | undefined;
  /** Whether it bears the upstream's signature. */
  readonly isSigned: boolean;
  /** Whether it proves that the request has not run. */
  readonly isNotExecuted: boolean;
  /** Whether another upstream, or other weights, were expected. */
  readonly isMisdirected: boolean;
  readonly load: ToldLoad | undefined;
  readonly weights: WeightNumber | undefined;
  readonly coldRemainingMs: number | undefined;
  /** Headers for the caller, names and values in turn. */
  readonly forwarded: readonly string[];
}

/** An engine's own account of its weights and orders. */
export interface EngineState {
  /** Whether it carries out an order. */
  readonly isBusy: boolean;
  /** Orders accepted since its start. */
  readonly acceptedOrders: number;
  readonly weights: ReadonlyMap<ModelId, WeightNumber>;
}

/** An order to load weights. */
export interface WeightOrder {
  readonly model: ModelId;
  readonly wanted: WeightNumber;
  readonly holder: string;
  readonly fencingToken: number;
  /** The order holds only where the engine has accepted this many orders. */
  readonly expectedOrders: number;
}

/** How an engine took an order. */
export type OrderOutcome = 'accepted' | 'done' | 'conflict' | 'fenced' | 'moved' | 'failed';

/** Where and how to send a call. */
export interface UpstreamCallOptions {
  readonly address: string;
  readonly upstreamId: UpstreamId;
  readonly signal: AbortSignal;
}

/** A batch of a store's events. */
export interface BlockEvents {
  /** Changes with each run of the store. */
  readonly epoch: number;
  readonly next: number;
  /** The servers' clock, in milliseconds; undefined where the store does not tell it. */
  readonly clockMs: number | undefined;
  /** Whether events before these are missing. */
  readonly hasGap: boolean;
  readonly changes: readonly StoredBlockChange[];
}

/** Where to go on reading a store's events. */
export interface BlockEventsQuery {
  readonly address: string;
  readonly since: number;
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

/** How upstreams are spoken to. */
export abstract class UpstreamProtocol {
  /** Builds the head of an attempt, names and values in turn. */
  abstract buildHeaders(exchange: GatewayExchange, facts: AttemptFacts): string[];

  abstract readAnswerHead(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    rawHeaders: readonly string[],
  ): AnswerHead;

  /** @throws where the engine gives no proper answer */
  abstract readState(options: UpstreamCallOptions): Promise<EngineState>;

  /** @throws where no answer came; the order may be carried out later */
  abstract sendOrder(order: WeightOrder, options: UpstreamCallOptions): Promise<OrderOutcome>;

  /** @throws where the store gives no proper answer */
  abstract readBlockEvents(query: BlockEventsQuery): Promise<BlockEvents>;

  /** Frees blocks of a store, by key. @throws where the store gives no proper answer */
  abstract releaseBlocks(
    address: string,
    epoch: number,
    keys: readonly string[],
    signal: AbortSignal,
  ): Promise<void>;

  abstract close(): void;
}
