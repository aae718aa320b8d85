import type { WorkloadShape } from './generate.js';

const MINUTE_MS = 60_000;

/**
 * Log-yard tickets: middling prompts, many of them, and time to first token counts most. About
 * 1.6 requests a second come to 58% of the fleet's prefill capacity when nothing is reused.
 */
export const houtmeet: WorkloadShape = {
  name: 'houtmeet',
  seed: 11,
  accountWeights: [8, 5, 4, 2, 1, 1, 1, 1, 0.5, 0.5],
  sessionsPerSecond: 0.27,
  swing: 0.3,
  returnShare: 5 / 6,
  gapMs: { median: 20 * MINUTE_MS, sigma: 1.2 },
  sharedTokens: 2048,
  contextTokens: { median: 5000, sigma: 0.5 },
  turnTokens: 400,
  outputTokens: 200,
  latencyWeight: 4,
  recomputeWeight: 1,
};
