/**
 * Whether an upstream may have run a request.
 *
 * - `not-run`: no byte of the request reached an upstream, or the upstream proved that the request
 *   did not run.
 * - `may-have-run`: unknown.
 * - `ran`: an upstream has run the request.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

const severity: Readonly<Record<Verdict, number>> = { 'not-run': 0, 'may-have-run': 1, ran: 2 };

/** Combines the verdicts of two attempts at a request. */
export const combineVerdicts = (left: Verdict, right: Verdict): Verdict =>
  severity[left] >= severity[right] ? left : right;

/** Returns whether a request with the given verdict may be retried. */
export const canRetry = (verdict: Verdict, idempotent: boolean): boolean =>
  verdict === 'not-run' || (idempotent && verdict === 'may-have-run');
