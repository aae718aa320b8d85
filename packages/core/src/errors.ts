import ModernError from 'modern-errors';
import type { Verdict } from './verdict.js';

/** Machine-readable reason of a refusal or failure, as callers see it in `error.code`. */
export type ErrorCode =
  | 'bad_request'
  | 'unauthorized'
  | 'unknown_model'
  | 'unknown_service'
  | 'body_too_large'
  | 'key_reused'
  | 'key_expired'
  | 'key_in_future'
  | 'over_limit'
  | 'overloaded'
  | 'deadline'
  | 'no_upstream'
  | 'zone_out'
  | 'stale_configuration'
  | 'log_unavailable'
  | 'replaying'
  | 'upstream_failed'
  | 'stream_broken'
  | 'outcome_unknown'
  | 'shutting_down'
  | 'internal';

/** Facts that every error of the system carries. */
export interface ErrorFacts {
  /** Reason shown to the caller. */
  readonly code: ErrorCode;
  /** HTTP status of the answer. */
  readonly status: number;
  /** Whether the request may have run. */
  readonly verdict: Verdict;
  /** Time after which a retry is sensible, in milliseconds; absent where a retry does not help. */
  readonly retryAfterMs?: number;
}

const defaultFacts: ErrorFacts = { code: 'internal', status: 500, verdict: 'may-have-run' };

/** Base of every error that the system raises on purpose. */
export const GoldcrestError = ModernError.subclass('GoldcrestError', {
  props: defaultFacts,
});

/** A refusal or failure whose facts are known. */
export type GoldcrestErrorInstance = Error & ErrorFacts;

/** Creates an error that tells the caller what happened and how to cure it. */
export const createError = (message: string, facts: ErrorFacts): GoldcrestErrorInstance =>
  new GoldcrestError(message, { props: facts });

/** Creates a refusal of a request that has not run. */
export const createRefusal = (
  message: string,
  facts: Omit<ErrorFacts, 'verdict'>,
): GoldcrestErrorInstance => createError(message, { ...facts, verdict: 'not-run' });

/** Tells whether a value is an error with known facts. */
export const isGoldcrestError = (value: unknown): value is GoldcrestErrorInstance =>
  value instanceof GoldcrestError;
