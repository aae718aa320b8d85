import type { IncomingMessage } from 'node:http';
import type {
  DeployedAccount,
  RouteRule,
  UpstreamId,
  Verdict,
  WeightNumber,
} from '@goldcrestscale/core';
import type { CallerHead } from '../ports/index.js';
import type { CallerAnswer } from '../http/callerAnswer.js';

/** One caller request on its way through the filters. */
export interface GatewayExchange {
  readonly request: IncomingMessage;
  readonly method: string;
  readonly host: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  readonly head: CallerHead;
  readonly answer: CallerAnswer;
  /** Aborts when the caller has gone. */
  readonly signal: AbortSignal;
  /** By the monotonic clock. */
  readonly receivedAtMs: number;
  /** Set by the body filter. */
  body: Buffer;
  /** Set by the route filter. */
  route?: RouteRule;
  /** Set by the account filter. */
  account?: DeployedAccount;
  /** Set by the deadline filter, by the monotonic clock. */
  deadlineAtMs: number;
  /** Worst verdict of the attempts so far. */
  verdict: Verdict;
  /** Attempts so far, for the log. */
  readonly attempts: AttemptNote[];
}

/** One attempt as the log tells of it. */
export interface AttemptNote {
  readonly upstreamId: UpstreamId;
  readonly weights: WeightNumber | undefined;
  /** Requests and prompt tokens that were held to be there at the dispatch. */
  readonly load: number;
  readonly pendingTokens: number;
  /** Tokens of the prompt that the upstream was expected to read, and to its first byte. */
  readonly readTokens: number;
  readonly expectedMs: number;
  readonly startedAtMs: number;
  /** Time from the dispatch to the head of the answer, in milliseconds. */
  headMs?: number;
  outcome: string;
}

/** Requires what an earlier filter has set. */
export const requireRoute = ({ route }: GatewayExchange): RouteRule => {
  if (!route) throw new TypeError('the route filter has not run');
  return route;
};
