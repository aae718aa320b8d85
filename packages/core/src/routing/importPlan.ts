import type { BlockKey, UpstreamId } from '../ids.js';
import type { BlockImport, PromptBlock } from './router.js';

/** A copy of a block on a store VM. */
export interface StoredCopy {
  readonly storeId: UpstreamId;
  readonly name: string;
  readonly bytes: number;
}

/** Access to the stored blocks and import estimates that routing needs. */
export interface ImportSource {
  /** Lists the usable copies of a block; empty if there is none or its zone is out. */
  listCopies(key: BlockKey): readonly StoredCopy[];
  /** Estimates the transfer time from a store VM to an upstream at the current link shares. */
  estimateImportMs(storeId: UpstreamId, upstreamId: UpstreamId, bytes: number): number;
}

/** Block imports that extend the cached prefix of one upstream. */
export interface ImportPlan {
  readonly imports: readonly BlockImport[];
  /** Number of leading blocks cached after the imports. */
  readonly leadingBlocks: number;
  readonly importMs: number;
}

/** An import source without store VMs. */
export const emptyImportSource: ImportSource = {
  listCopies: () => [],
  estimateImportMs: () => Number.POSITIVE_INFINITY,
};

const chooseCopy = (
  copies: readonly StoredCopy[],
  plannedBytes: ReadonlyMap<UpstreamId, number>,
): StoredCopy => {
  const countBytes = (copy: StoredCopy): number => plannedBytes.get(copy.storeId) ?? 0;
  return copies.reduce((best, copy) => (countBytes(copy) < countBytes(best) ? copy : best));
};

/**
 * Plans the imports that extend the cached prefix of an upstream as far as stored copies allow,
 * balancing the bytes over the store VMs that hold copies.
 *
 * @param heldPositions positions of the blocks that the upstream already holds, in ascending order
 */
export const planImports = (
  blocks: readonly PromptBlock[],
  copies: readonly (readonly StoredCopy[])[],
  heldPositions: readonly number[],
  upstreamId: UpstreamId,
  source: ImportSource,
): ImportPlan => {
  const imports: BlockImport[] = [];
  const plannedBytes = new Map<UpstreamId, number>();
  let nextHeldIndex = 0;
  let position = 0;
  for (; position < blocks.length; position += 1) {
    if (heldPositions[nextHeldIndex] === position) {
      nextHeldIndex += 1;
    } else {
      const available = copies[position] ?? [];
      if (available.length === 0) break;
      const copy = chooseCopy(available, plannedBytes);
      plannedBytes.set(copy.storeId, (plannedBytes.get(copy.storeId) ?? 0) + copy.bytes);
      imports.push({ key: blocks[position]!.key, ...copy });
    }
  }
  const importTimesMs = [...plannedBytes].map(([storeId, bytes]) =>
    source.estimateImportMs(storeId, upstreamId, bytes),
  );
  return { imports, leadingBlocks: position, importMs: Math.max(0, ...importTimesMs) };
};
