import ModernError from 'modern-errors';
import type { SendEnd } from './retry/index.js';
import type { Verdict } from './verdict.js';

/** Machine-readable reason of a refusal or failure, returned to callers as `error.code`. */
export type ErrorCode =
  | 'bad_request'
  | 'unauthorized'
  | 'unknown_model'
  | 'unknown_service'
  | 'body_parts_too_small'
  | 'body_too_large'
  | 'memory_full'
  | 'key_reused'
  | 'key_expired'
  | 'key_in_future'
  | 'prompt_part_refused'
  | 'request_refused'
  | 'request_suspected'
  | 'over_limit'
  | 'overloaded'
  | 'rate_limited'
  | 'deadline'
  | 'caller_left'
  | 'no_upstream'
  | 'stream_origin_unknown'
  | 'zone_out'
  | 'stale_configuration'
  | 'log_unavailable'
  | 'replaying'
  | 'upstream_failed'
  | 'stream_broken'
  | 'outcome_unknown'
  | 'shutting_down'
  | 'internal';

/** Properties of every GoldcrestError. */
export interface ErrorProperties {
  /** Reason returned to the caller. */
  readonly code: ErrorCode;
  /** HTTP status of the response. */
  readonly status: number;
  /** Whether the request may have run. */
  readonly verdict: Verdict;
  /** Time after which the caller may retry, in milliseconds; absent if a retry does not help. */
  readonly retryAfterMs?: number;
  /** How the send of the request ended, if it was an attempt at an upstream that failed. */
  readonly sendEnd?: SendEnd;
  /** Memory that the answer of an upstream needs, in bytes, if it was given up for want of it. */
  readonly neededBytes?: number;
}

const defaultProperties: ErrorProperties = {
  code: 'internal',
  status: 500,
  verdict: 'may-have-run',
};

/** Base class of all expected errors. */
export const GoldcrestError = ModernError.subclass('GoldcrestError', {
  props: defaultProperties,
});

/** An instance of GoldcrestError. */
export type GoldcrestErrorInstance = Error & ErrorProperties;

/** Creates an error; the message states what happened and how the caller can resolve it. */
export const createError = (message: string, properties: ErrorProperties): GoldcrestErrorInstance =>
  new GoldcrestError(message, { props: properties });

/** Creates an error for a request that was refused before it ran. */
export const createRefusal = (
  message: string,
  properties: Omit<ErrorProperties, 'verdict'>,
): GoldcrestErrorInstance => createError(message, { ...properties, verdict: 'not-run' });

/** Returns whether a value is a GoldcrestError. */
export const isGoldcrestError = (value: unknown): value is GoldcrestErrorInstance =>
  value instanceof GoldcrestError;
