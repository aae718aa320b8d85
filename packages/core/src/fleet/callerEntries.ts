import { MAX_CALLER_ENTRIES, MIN_ZONE_ENTRIES } from './constants.js';
import type { EntryHeartbeat } from './entryRoster.js';

/**
 * Chooses the VMs that the directory names to a caller: those of its own zone where there are
 * enough of them to bear the loss of some, else all.
 */
export const pickForCallers = (
  serving: readonly EntryHeartbeat[],
  zone: string | undefined,
): readonly EntryHeartbeat[] => {
  const near = serving.filter(({ availabilityZone }) => availabilityZone === zone);
  const picked = near.length >= MIN_ZONE_ENTRIES ? near : serving;
  return picked.slice(0, MAX_CALLER_ENTRIES);
};
