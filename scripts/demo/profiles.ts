import type { TrafficProfile } from '../site/callers/index.js';

/** A profile with the client account that it calls for. */
export interface DemoProfile extends TrafficProfile {
  readonly accountId: string;
}

const shared = {
  model: 'house',
  service: 'office',
  lookupPath: '/stock',
  maxTokens: 24,
} as const;

/** Both users' workloads: log-yard tickets of Houtmeet, boot fitting of Kalahari. */
export const demoProfiles: readonly DemoProfile[] = [
  {
    ...shared,
    accountId: 'houtmeet-gent',
    workload: 'gent.summary',
    unrepeatablePath: '/tickets',
    conversations: 20,
    notesTokens: 4_500,
    turnTokens: 150,
    completionRate: 4,
    serviceRate: 6,
    seed: 1,
  },
  {
    ...shared,
    accountId: 'houtmeet-leuven',
    workload: 'leuven.summary',
    unrepeatablePath: '/tickets',
    conversations: 8,
    notesTokens: 3_200,
    turnTokens: 150,
    completionRate: 1.5,
    serviceRate: 3,
    seed: 2,
  },
  {
    ...shared,
    accountId: 'kalahari-upington',
    workload: 'upington.shell',
    unrepeatablePath: '/bookings',
    conversations: 16,
    notesTokens: 6_500,
    turnTokens: 200,
    completionRate: 3,
    serviceRate: 4,
    seed: 3,
  },
  {
    ...shared,
    accountId: 'kalahari-springbok',
    workload: 'springbok.notes',
    unrepeatablePath: '/bookings',
    conversations: 8,
    notesTokens: 5_500,
    turnTokens: 200,
    completionRate: 1.5,
    serviceRate: 2,
    seed: 4,
  },
];
