import { MAX_CALLER_ENTRIES, MIN_ZONE_ENTRIES } from './constants.js';
import type { EntryHeartbeat } from './entryRoster.js';

/**
 * Selects the entry VMs that the directory returns to a caller: those in the caller's zone if there
 * are enough to tolerate the loss of some, otherwise those of all zones.
 */
export const pickCallerEntries = (
  serving: readonly EntryHeartbeat[],
  zone: string | undefined,
): readonly EntryHeartbeat[] => {
  const sameZone = serving.filter(({ availabilityZone }) => availabilityZone === zone);
  const picked = sameZone.length >= MIN_ZONE_ENTRIES ? sameZone : serving;
  return picked.slice(0, MAX_CALLER_ENTRIES);
};
