import type { BlockKey, UpstreamId } from '../ids.js';

/** State of a block at a store VM. */
export type BlockState = 'temporary' | 'committed' | 'freed';

/** What proves that bytes are the block that was committed. */
export interface BlockSeal {
  readonly length: number;
  /** SHA-256 of the bytes, in hexadecimal. */
  readonly checksum: string;
  /** Counts the uses of a name; a reused name has a higher one. */
  readonly generation: number;
  /** Run of the store VM that took the block. */
  readonly incarnation: string;
}

/** A block that was committed at a store VM. */
export interface StoredBlock extends BlockSeal {
  readonly key: BlockKey;
  readonly storeId: UpstreamId;
  readonly name: string;
}

/** What a store VM says of a block at one moment. */
export interface BlockStatus extends BlockSeal {
  readonly state: BlockState;
}

/** Result of reading a block's bytes; the length and checksum are those of the bytes received. */
export interface BlockContent {
  readonly bytes: Uint8Array;
  readonly seal: BlockSeal;
}

/** Why a block must not be used. */
export type BlockFault =
  'length' | 'checksum' | 'generation' | 'incarnation' | 'state' | 'gone' | 'timeout';

/** Compares two seals; gives the first difference. */
export const findSealFault = (expected: BlockSeal, actual: BlockSeal): BlockFault | undefined =>
  (['length', 'checksum', 'generation', 'incarnation'] as const).find(
    (field) => expected[field] !== actual[field],
  );

/**
 * Verifies a block that has been read: the bytes received and the status asked for after the read
 * must both match what was committed. The status before the read proves nothing, since the block
 * may be freed and its name used again while it is read.
 */
export const verifyBlock = (
  expected: BlockSeal,
  received: BlockSeal,
  statusAfter: BlockStatus | undefined,
): BlockFault | undefined => {
  if (!statusAfter) return 'gone';
  if (statusAfter.state !== 'committed') return 'state';
  return findSealFault(expected, received) ?? findSealFault(expected, statusAfter);
};
