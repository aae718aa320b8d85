import type { IncomingMessage } from 'node:http';
import type {
  DeployedAccount,
  RouteRule,
  SoftwareVersion,
  UpstreamId,
  Verdict,
  VmId,
  WeightNumber,
} from '@goldcrestscale/core';
import type { ByteReservation } from '@goldcrestscale/runtime';
import type { CallerRequestHead } from '../ports/index.js';
import type { CallerResponse } from '../http/callerResponse.js';

/** A caller's request and its response while they pass through the filter chain. */
export interface GatewayExchange {
  readonly request: IncomingMessage;
  readonly method: string;
  readonly host: string;
  /** Request target: path and query as sent by the caller. */
  readonly target: string;
  readonly head: CallerRequestHead;
  readonly response: CallerResponse;
  /** Aborts when the caller leaves before its response has been sent. */
  readonly signal: AbortSignal;
  /**
   * Monotonic time at which the request arrived at the earliest; it may have lain unread while the
   * process stood still.
   */
  readonly receivedAtMs: number;
  /** Its share of the memory for what is buffered for callers; released after the response. */
  readonly reservation: ByteReservation;
  /** Set by the body filter. */
  body: Buffer;
  /** Set by the route filter. */
  route?: RouteRule;
  /** Set by the account filter. */
  account?: DeployedAccount;
  /** Set by the deadline filter; monotonic time. */
  deadlineAtMs: number;
  /** The verdict of the attempts so far that promises the least. */
  verdict: Verdict;
  /** Version of the upstreams at which its stream may go on; undefined before the first event. */
  streamVersion?: SoftwareVersion | undefined;
  /** Whether it has been sent to an upstream. */
  isSent: boolean;
  /** Attempts so far, for the log. */
  readonly attempts: AttemptLogEntry[];
}

/** Log record of one attempt. Its field names appear in the log. */
export interface AttemptLogEntry {
  readonly upstreamId: UpstreamId;
  readonly version: SoftwareVersion | undefined;
  readonly weights: WeightNumber | undefined;
  /** Estimated requests and prompt tokens at the upstream when the attempt was sent. */
  readonly load: number;
  readonly pendingTokens: number;
  /** Prompt tokens that the upstream was expected to prefill, and the expected time to first token. */
  readonly readTokens: number;
  readonly expectedMs: number;
  /** Estimated slowdown of the upstream when the attempt was sent. */
  readonly slowdown: number;
  readonly startedAtMs: number;
  /** The VM through which the connection led; undefined if it led to the upstream directly. */
  via?: VmId | undefined;
  /** Time from sending the request to the response head. */
  headMs?: number;
  outcome: string;
}

/** Returns the priority of a request: the account's before the route's; 0 is the highest. */
export const getPriority = ({ account, route }: GatewayExchange): number =>
  account?.priority ?? route?.priority ?? 0;

/** @throws TypeError if the route filter has not run */
export const requireRoute = ({ route }: GatewayExchange): RouteRule => {
  if (!route) throw new TypeError('the route filter has not run');
  return route;
};
