import type { ScopedIdempotencyKey, RequestDigest } from './idempotencyKey.js';
import type { ExecutionOutcome } from './records.js';

/** A non-idempotent request, identified by its idempotency key. */
export interface KeyedRequest extends ScopedIdempotencyKey {
  readonly digest: RequestDigest;
}

/** Permit to execute a request once. */
export interface ExecutionPermit {
  /** Uses the permit immediately before dispatch; false if it was abandoned in the meantime. */
  begin(): boolean;
  /** Records the outcome of the execution. */
  finish(outcome: ExecutionOutcome): void;
  /** Releases the key; only allowed if the request has certainly not run. */
  release(): void;
}

/** Result of a claim for a non-idempotent request. */
export type ClaimResult =
  | { readonly type: 'run'; readonly permit: ExecutionPermit }
  /** The request has run before; its stored outcome is returned. */
  | { readonly type: 'repeat'; readonly outcome: ExecutionOutcome };

/** Decides whether a non-idempotent request may be executed. */
export abstract class IdempotencyGuard {
  /** @throws a GoldcrestError whose verdict tells whether the request may have run */
  abstract claim(request: KeyedRequest, signal: AbortSignal): Promise<ClaimResult>;
}
