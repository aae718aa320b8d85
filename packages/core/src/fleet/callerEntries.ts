import type { VmId } from '../ids.js';
import { hashString } from '../membership/rendezvous.js';
import { CALLER_WINDOW_MS, MAX_CALLER_ENTRIES, MIN_ZONE_ENTRIES } from './constants.js';
import type { EntryHeartbeat } from './entryRoster.js';

const HASH_RANGE = 2 ** 32;

const getShare = ({ callerShare = 1 }: EntryHeartbeat): number => callerShare;

/** Whether an entry VM with a share of 1/2 or more is in the answers of a window; never out of two in a row. */
const isInWindow = ({ vmId }: EntryHeartbeat, share: number, window: number): boolean =>
  (window * share + hashString(vmId) / HASH_RANGE) % 1 < share;

/**
 * Whether some VMs have more to bear callers with than others. Those of one size differ only for a while,
 * and callers would close connections for nothing.
 */
const isUneven = (entries: readonly EntryHeartbeat[]): boolean =>
  entries.some(({ size }) => size !== entries[0]?.size);

/**
 * Selects the entry VMs of a window by their shares. A share counts against the largest, since callers
 * can't be sent elsewhere if all VMs want fewer.
 */
const pickByShares = (
  entries: readonly EntryHeartbeat[],
  window: number,
): readonly EntryHeartbeat[] => {
  const largest = Math.max(...entries.map(getShare));
  if (!isUneven(entries) || entries.every((entry) => getShare(entry) === largest)) return entries;
  const [picked, rest] = [[], []] as [EntryHeartbeat[], EntryHeartbeat[]];
  entries.forEach((entry) =>
    (isInWindow(entry, getShare(entry) / largest, window) ? picked : rest).push(entry),
  );
  const missing = Math.max(0, MIN_ZONE_ENTRIES - picked.length);
  rest.sort((left, right) => getShare(right) - getShare(left) || (left.vmId < right.vmId ? -1 : 1));
  const added = new Set([...picked, ...rest.slice(0, missing)]);
  return entries.filter((entry) => added.has(entry));
};

/** What the directory knows of a question. */
export interface CallerQuestion {
  /** Zone of the caller. */
  readonly zone: string | undefined;
  /** Wall-clock time, which tells the windows of the answers. */
  readonly nowMs: number;
  /** Whether a VM is silent while its heartbeats can't come. */
  readonly isSilent: (vmId: VmId) => boolean;
}

/**
 * Selects the entry VMs that the directory returns to a caller: those in the caller's zone if there
 * are enough to tolerate the loss of some, otherwise those of all zones. VMs that can't serve yet are
 * left out, silent ones if enough others remain. Those that want fewer callers are left out of some
 * answers: of the same ones at all VMs, because a caller closes its connections to VMs that its new
 * answer lacks.
 */
export const pickCallerEntries = (
  serving: readonly EntryHeartbeat[],
  { zone, nowMs, isSilent }: CallerQuestion,
): readonly EntryHeartbeat[] => {
  const ready = serving.filter(({ isReady }) => isReady !== false);
  const sameZone = ready.filter(({ availabilityZone }) => availabilityZone === zone);
  const heard = sameZone.filter(({ vmId }) => !isSilent(vmId));
  const candidates = [heard, sameZone].find(({ length }) => length >= MIN_ZONE_ENTRIES) ?? ready;
  const window = Math.floor(nowMs / CALLER_WINDOW_MS);
  return pickByShares(candidates, window).slice(0, MAX_CALLER_ENTRIES);
};
