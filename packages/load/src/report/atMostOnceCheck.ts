import { request } from 'undici';
import { z } from 'zod';
import type { RequestResult } from '../client/index.js';
import { ENTRIES_TIMEOUT_MS } from '../constants.js';

const countsSchema = z.object({ runs: z.record(z.string(), z.number()) });

/** Number of executions of each call by its reference, as counted by the services. */
export type RunCounts = ReadonlyMap<string, number>;

/** At-most-once check of the non-idempotent calls against the services' own counts. */
export interface AtMostOnceResult {
  readonly calls: number;
  /** Whether every service reported its counts; without them the check is inconclusive. */
  readonly counted: boolean;
  /** References that ran more than once. */
  readonly doubled: readonly string[];
  /** References that got a complete response but did not run. */
  readonly lost: readonly string[];
  /** References that ran although the caller got the verdict `not-run`. */
  readonly falseNotRun: readonly string[];
}

/**
 * Fetches the run counts of the services and totals them; undefined if a service does not report
 * them.
 */
export const fetchRunCounts = async (
  urls: readonly string[],
  signal: AbortSignal,
): Promise<RunCounts | undefined> => {
  const totals = new Map<string, number>();
  for (const url of urls) {
    try {
      const timeout = AbortSignal.timeout(ENTRIES_TIMEOUT_MS);
      const response = await request(url, { signal: AbortSignal.any([signal, timeout]) });
      const { runs } = countsSchema.parse(await response.body.json());
      Object.entries(runs).forEach(([ref, runCount]) => {
        totals.set(ref, (totals.get(ref) ?? 0) + runCount);
      });
    } catch {
      return undefined;
    }
  }
  return totals;
};

/**
 * Checks whether the run counts of the non-idempotent calls agree with the verdicts that callers
 * got.
 */
export const checkAtMostOnce = (
  results: readonly RequestResult[],
  counts: RunCounts | undefined,
): AtMostOnceResult => {
  const calls = results.filter((result) => result.ref !== undefined);
  const listRefs = (isViolation: (result: RequestResult, runs: number) => boolean): string[] =>
    calls.flatMap((result) => {
      const ref = result.ref ?? '';
      return counts && isViolation(result, counts.get(ref) ?? 0) ? [ref] : [];
    });
  return {
    calls: calls.length,
    counted: counts !== undefined,
    doubled: listRefs((_result, runs) => runs > 1),
    lost: listRefs((result, runs) => result.outcome === 'whole' && runs === 0),
    falseNotRun: listRefs((result, runs) => result.verdict === 'not-run' && runs > 0),
  };
};
