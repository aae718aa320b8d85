import type { WorkloadParameters } from './generateTrace.js';

const MINUTE_MS = 60_000;

/**
 * Log-yard tickets: many prompts of medium length, with priority on time to first token. About 1.6
 * requests per second use 58% of the fleet's prefill capacity when nothing is cached.
 */
export const houtmeet: WorkloadParameters = {
  name: 'houtmeet',
  seed: 11,
  accountWeights: [8, 5, 4, 2, 1, 1, 1, 1, 0.5, 0.5],
  sessionsPerSecond: 0.27,
  rateAmplitude: 0.3,
  returnProbability: 5 / 6,
  gapMs: { median: 20 * MINUTE_MS, sigma: 1.2 },
  sharedPrefixTokens: 2048,
  contextTokens: { median: 5000, sigma: 0.5 },
  turnTokens: 400,
  outputTokens: 200,
  latencyWeight: 4,
  recomputeWeight: 1,
};
