import type { AccountKey, RequestDigest } from './onceKey.js';
import type { RunOutcome } from './records.js';

/** An unrepeatable request. */
export interface OnceRequest extends AccountKey {
  readonly digest: RequestDigest;
}

/** Right to run a request once. */
export interface RunPermit {
  /** Takes the right, immediately before the dispatch; false where it was given up meanwhile. */
  begin(): boolean;
  /** Tells how the run ended. */
  finish(outcome: RunOutcome): void;
  /** Gives the key back; only where the request has certainly not run. */
  release(): void;
}

/** What may be done with an unrepeatable request. */
export type OnceClaim =
  | { readonly type: 'run'; readonly permit: RunPermit }
  /** It has run before; its outcome is repeated. */
  | { readonly type: 'repeat'; readonly outcome: RunOutcome };

/** Decides whether an unrepeatable request may run. */
export abstract class OnceGuard {
  /** @throws a GoldcrestError with a true verdict where it may not */
  abstract claim(request: OnceRequest, signal: AbortSignal): Promise<OnceClaim>;
}
