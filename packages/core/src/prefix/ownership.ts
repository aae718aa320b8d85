/* eslint-disable no-bitwise -- hashing works on 32-bit words */
import type { BlockKey, VmId } from '../ids.js';
import { parseBlockKey } from './blockChain.js';
import { INDEX_COPIES } from './constants.js';

/** Names the VMs that keep the index entries of a key. */
export interface IndexOwnership {
  /** Gives the owners of a key, the preferred one first. */
  pickOwners(key: BlockKey): VmId[];
  /** Tells whether a VM keeps the entries of a key. */
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

const weighMember = (memberHash: number, tag: number): number => {
  let mixed = Math.imul(memberHash ^ tag, 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
};

/**
 * Creates the ownership of index entries over the live members by rendezvous hashing: each group
 * of blocks has `copies` owners, and a change of one member moves only that member's groups.
 * With as many copies as members every VM holds the whole index.
 */
export const createIndexOwnership = (
  members: readonly VmId[],
  copies: number = INDEX_COPIES,
): IndexOwnership => {
  const hashes = members.map((vmId) => ({ vmId, hash: hashText(vmId) }));
  const pickOwners = (key: BlockKey): VmId[] => {
    const words = parseBlockKey(key);
    if (!words) return [];
    const best: { vmId: VmId; weight: number }[] = [];
    for (const { vmId, hash } of hashes) {
      const weight = weighMember(hash, words.groupTag ^ words.accountTag);
      let place = best.length;
      while (place > 0 && best[place - 1]!.weight < weight) place -= 1;
      if (place < copies) best.splice(place, 0, { vmId, weight });
      if (best.length > copies) best.pop();
    }
    return best.map(({ vmId }) => vmId);
  };
  return { pickOwners, isOwner: (key, vmId) => pickOwners(key).includes(vmId) };
};
