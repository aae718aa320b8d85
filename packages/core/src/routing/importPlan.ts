import type { BlockKey, UpstreamId } from '../ids.js';
import type { BlockImport, PromptBlock } from './router.js';

/** One copy of a block at a store VM. */
export interface StoredCopy {
  readonly storeId: UpstreamId;
  readonly name: string;
  readonly bytes: number;
}

/** What routing needs to know of the store VMs. */
export interface ImportSource {
  /** Lists the usable copies of a block; empty where there is none or its zone is out. */
  listCopies(key: BlockKey): readonly StoredCopy[];
  /** Estimates how long bytes take from a store VM to an upstream at the present link shares. */
  estimateImportMs(storeId: UpstreamId, upstreamId: UpstreamId, bytes: number): number;
}

/** Imports that lengthen the cached prefix of one upstream. */
export interface ImportPlan {
  readonly imports: readonly BlockImport[];
  /** Leading blocks held once the imports are done. */
  readonly leading: number;
  readonly importMs: number;
}

/** A source without store VMs. */
export const noImportSource: ImportSource = {
  listCopies: () => [],
  estimateImportMs: () => Number.POSITIVE_INFINITY,
};

const chooseCopy = (
  copies: readonly StoredCopy[],
  planned: ReadonlyMap<UpstreamId, number>,
): StoredCopy => {
  const getPlanned = (copy: StoredCopy): number => planned.get(copy.storeId) ?? 0;
  return copies.reduce((best, copy) => (getPlanned(copy) < getPlanned(best) ? copy : best));
};

/**
 * Plans the imports that make the cached prefix of an upstream as long as the store VMs allow,
 * spread over the store VMs that hold copies.
 *
 * @param held positions that the upstream holds already, ascending
 */
export const planImports = (
  blocks: readonly PromptBlock[],
  copies: readonly (readonly StoredCopy[])[],
  held: readonly number[],
  upstreamId: UpstreamId,
  source: ImportSource,
): ImportPlan => {
  const imports: BlockImport[] = [];
  const planned = new Map<UpstreamId, number>();
  let nextHeld = 0;
  let position = 0;
  for (; position < blocks.length; position += 1) {
    if (held[nextHeld] === position) {
      nextHeld += 1;
    } else {
      const available = copies[position] ?? [];
      if (available.length === 0) break;
      const copy = chooseCopy(available, planned);
      planned.set(copy.storeId, (planned.get(copy.storeId) ?? 0) + copy.bytes);
      imports.push({ key: blocks[position]!.key, ...copy });
    }
  }
  const times = [...planned].map(([storeId, bytes]) =>
    source.estimateImportMs(storeId, upstreamId, bytes),
  );
  return { imports, leading: position, importMs: Math.max(0, ...times) };
};
