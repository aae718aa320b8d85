import { request } from 'undici';
import { z } from 'zod';
import type { RequestResult } from '../client/index.js';
import { ENTRIES_TIMEOUT_MS } from '../constants.js';

const countsSchema = z.object({ runs: z.record(z.string(), z.number()) });

/** How often each call really ran, by its reference. */
export type RunCounts = ReadonlyMap<string, number>;

/** What the services' own counts say about the unrepeatable calls. */
export interface OnceJudgement {
  readonly calls: number;
  /** Whether every service told its counts; without them nothing is proved. */
  readonly counted: boolean;
  /** References that ran more than once. */
  readonly doubled: readonly string[];
  /** References that were answered but did not run. */
  readonly lost: readonly string[];
  /** References that ran although the caller was told that they had not. */
  readonly falseNotRun: readonly string[];
}

/** Fetches the counts of several services and adds them up; undefined where one does not tell. */
export const fetchRunCounts = async (
  urls: readonly string[],
  signal: AbortSignal,
): Promise<RunCounts | undefined> => {
  const sums = new Map<string, number>();
  for (const url of urls) {
    try {
      const timeout = AbortSignal.timeout(ENTRIES_TIMEOUT_MS);
      const answer = await request(url, { signal: AbortSignal.any([signal, timeout]) });
      const { runs } = countsSchema.parse(await answer.body.json());
      Object.entries(runs).forEach(([ref, runsOfRef]) => {
        sums.set(ref, (sums.get(ref) ?? 0) + runsOfRef);
      });
    } catch {
      return undefined;
    }
  }
  return sums;
};

/** Decides from the services' counts whether every unrepeatable call ran as its caller was told. */
export const decideOnce = (
  results: readonly RequestResult[],
  counts: RunCounts | undefined,
): OnceJudgement => {
  const calls = results.filter((result) => result.ref !== undefined);
  const listRefs = (isFault: (result: RequestResult, runs: number) => boolean): string[] =>
    calls.flatMap((result) => {
      const ref = result.ref ?? '';
      return counts && isFault(result, counts.get(ref) ?? 0) ? [ref] : [];
    });
  return {
    calls: calls.length,
    counted: counts !== undefined,
    doubled: listRefs((_result, runs) => runs > 1),
    lost: listRefs((result, runs) => result.outcome === 'whole' && runs === 0),
    falseNotRun: listRefs((result, runs) => result.verdict === 'not-run' && runs > 0),
  };
};
