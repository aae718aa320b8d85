/* eslint-disable no-bitwise -- hashing works on 32-bit words */
import type { BlockKey, VmId } from '../ids.js';
import { parseBlockKey } from './promptBlocks.js';
import { INDEX_REPLICAS } from './constants.js';

/** Assigns index entries to the VMs that keep them. */
export interface IndexOwnership {
  /** Returns the owners of a key, the preferred one first. */
  pickOwners(key: BlockKey): VmId[];
  /** Returns whether a VM owns the entries of a key. */
  isOwner(key: BlockKey, vmId: VmId): boolean;
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

const hashText = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return hash >>> 0;
};

const computeWeight = (memberHash: number, tag: number): number => {
  let mixed = Math.imul(memberHash ^ tag, 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
};

/**
 * Assigns index entries to the live members by rendezvous hashing. Each group of blocks has
 * `replicas` owners, and adding or removing a member moves only that member's groups. With as
 * many replicas as members, every VM holds the complete index.
 */
export const createIndexOwnership = (
  members: readonly VmId[],
  replicas: number = INDEX_REPLICAS,
): IndexOwnership => {
  const memberHashes = members.map((vmId) => ({ vmId, hash: hashText(vmId) }));
  const pickOwners = (key: BlockKey): VmId[] => {
    const words = parseBlockKey(key);
    if (!words) return [];
    const best: { vmId: VmId; weight: number }[] = [];
    for (const { vmId, hash } of memberHashes) {
      const weight = computeWeight(hash, words.groupTag ^ words.accountTag);
      let rank = best.length;
      while (rank > 0 && best[rank - 1]!.weight < weight) rank -= 1;
      if (rank < replicas) best.splice(rank, 0, { vmId, weight });
      if (best.length > replicas) best.pop();
    }
    return best.map(({ vmId }) => vmId);
  };
  return { pickOwners, isOwner: (key, vmId) => pickOwners(key).includes(vmId) };
};
