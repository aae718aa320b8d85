import type { AccountKey, RequestDigest } from './onceKey.js';
import type { RunOutcome } from './records.js';

/** A non-idempotent request, identified by its idempotency key. */
export interface OnceRequest extends AccountKey {
  readonly digest: RequestDigest;
}

/** Permit to execute a request once. */
export interface RunPermit {
  /** Uses the permit immediately before dispatch; false if it was abandoned in the meantime. */
  begin(): boolean;
  /** Records the outcome of the execution. */
  finish(outcome: RunOutcome): void;
  /** Releases the key; only allowed if the request has certainly not run. */
  release(): void;
}

/** Result of a claim for a non-idempotent request. */
export type OnceClaim =
  | { readonly type: 'run'; readonly permit: RunPermit }
  /** The request has run before; its stored outcome is returned. */
  | { readonly type: 'repeat'; readonly outcome: RunOutcome };

/** Decides whether a non-idempotent request may be executed. */
export abstract class OnceGuard {
  /** @throws a GoldcrestError whose verdict tells whether the request may have run */
  abstract claim(request: OnceRequest, signal: AbortSignal): Promise<OnceClaim>;
}
