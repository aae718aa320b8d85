import type { WorkloadShape } from './generate.js';

const MINUTE_MS = 60_000;

/**
 * Boot fittings: long notes, fewer prompts, and recomputation counts most. About 0.6 requests a
 * second come to 59% of the fleet's prefill capacity when nothing is reused.
 */
export const kalahari: WorkloadShape = {
  name: 'kalahari',
  seed: 12,
  accountWeights: [8, 5, 4, 2, 1, 1, 1, 1, 0.5, 0.5],
  sessionsPerSecond: 0.1,
  swing: 0.3,
  returnShare: 5 / 6,
  gapMs: { median: 30 * MINUTE_MS, sigma: 1.2 },
  sharedTokens: 3072,
  contextTokens: { median: 16_000, sigma: 0.5 },
  turnTokens: 800,
  outputTokens: 200,
  latencyWeight: 1,
  recomputeWeight: 4,
};
