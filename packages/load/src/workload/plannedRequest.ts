import { z } from 'zod';
import { MAX_DURATION_MS, MAX_REQUESTS } from '../constants.js';

const MAX_NAME_CHARS = 128;
const nameSchema = z.string().min(1).max(MAX_NAME_CHARS);

/**
 * One request of a run: planned start, account, workload and prompt size. The prompt text is
 * generated on sending.
 */
export const plannedRequestSchema = z.strictObject({
  /** Time since the start of the run, in milliseconds. */
  atMs: z.number().min(0).max(MAX_DURATION_MS),
  account: nameSchema,
  /** Name of the workload in the settings. */
  workload: nameSchema,
  /** Id of the session of a returning prompt, or of one service call. */
  session: nameSchema,
  /** 0 for a new prompt, incremented with each return. */
  turn: z.number().int().min(0).max(MAX_REQUESTS),
  /** Size of the prompt; 0 for a service call. */
  promptTokens: z.number().int().min(0).max(1_048_576),
});

/** One request of a run. */
export type PlannedRequest = z.output<typeof plannedRequestSchema>;

/** Compares requests by planned start, then by session, for a deterministic order. */
export const comparePlannedRequests = (left: PlannedRequest, right: PlannedRequest): number =>
  left.atMs - right.atMs || (left.session < right.session ? -1 : 1);
