import type { WorkloadParameters } from './generateTrace.js';

const MINUTE_MS = 60_000;

/**
 * Boot fittings: fewer and longer prompts, with priority on low recomputation. About 0.6 requests
 * per second use 59% of the fleet's prefill capacity when nothing is cached.
 */
export const kalahari: WorkloadParameters = {
  name: 'kalahari',
  seed: 12,
  accountWeights: [8, 5, 4, 2, 1, 1, 1, 1, 0.5, 0.5],
  sessionsPerSecond: 0.1,
  rateAmplitude: 0.3,
  returnProbability: 5 / 6,
  gapMs: { median: 30 * MINUTE_MS, sigma: 1.2 },
  sharedPrefixTokens: 3072,
  contextTokens: { median: 16_000, sigma: 0.5 },
  turnTokens: 800,
  outputTokens: 200,
  latencyWeight: 1,
  recomputeWeight: 4,
};
