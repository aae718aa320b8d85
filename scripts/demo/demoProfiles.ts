import type { TrafficProfile } from '../site/callers/index.js';

/** A traffic profile with the client account that sends it. */
export interface DemoProfile extends TrafficProfile {
  readonly accountId: string;
}

const shared = {
  model: 'house',
  service: 'office',
  lookupPath: '/stock',
  maxTokens: 24,
} as const;

/** Workloads of the two customers: log-yard tickets of Houtmeet, boot fitting of Kalahari. */
export const demoProfiles: readonly DemoProfile[] = [
  {
    ...shared,
    accountId: 'houtmeet-gent',
    workload: 'gent.summary',
    nonIdempotentPath: '/tickets',
    maxConversations: 20,
    systemPromptTokens: 4_500,
    turnTokens: 150,
    completionsPerSecond: 4,
    serviceCallsPerSecond: 6,
    seed: 1,
  },
  {
    ...shared,
    accountId: 'houtmeet-leuven',
    workload: 'leuven.summary',
    nonIdempotentPath: '/tickets',
    maxConversations: 8,
    systemPromptTokens: 3_200,
    turnTokens: 150,
    completionsPerSecond: 1.5,
    serviceCallsPerSecond: 3,
    seed: 2,
  },
  {
    ...shared,
    accountId: 'kalahari-upington',
    workload: 'upington.shell',
    nonIdempotentPath: '/bookings',
    maxConversations: 16,
    systemPromptTokens: 6_500,
    turnTokens: 200,
    completionsPerSecond: 3,
    serviceCallsPerSecond: 4,
    seed: 3,
  },
  {
    ...shared,
    accountId: 'kalahari-springbok',
    workload: 'springbok.notes',
    nonIdempotentPath: '/bookings',
    maxConversations: 8,
    systemPromptTokens: 5_500,
    turnTokens: 200,
    completionsPerSecond: 1.5,
    serviceCallsPerSecond: 2,
    seed: 4,
  },
];
