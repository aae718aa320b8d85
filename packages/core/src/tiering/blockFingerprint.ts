import type { BlockKey, UpstreamId } from '../ids.js';

/** State of a block on a store VM. */
export type BlockState = 'temporary' | 'committed' | 'freed';

/** Properties that must match for bytes to be accepted as the committed block. */
export interface BlockFingerprint {
  readonly length: number;
  /** SHA-256 of the bytes, as hex. */
  readonly checksum: string;
  /** Incremented whenever a block name is reused. */
  readonly generation: number;
  /** Incarnation of the store VM that accepted the block. */
  readonly incarnation: string;
}

/** Block that was committed on a store VM. */
export interface StoredBlock extends BlockFingerprint {
  readonly key: BlockKey;
  readonly storeId: UpstreamId;
  readonly name: string;
}

/** Status of a block, as reported by its store VM. */
export interface BlockStatus extends BlockFingerprint {
  readonly state: BlockState;
}

/** Result of reading a block; length and checksum are computed from the received bytes. */
export interface BlockContent {
  readonly bytes: Uint8Array;
  readonly fingerprint: BlockFingerprint;
}

/** Reason why a block failed verification. */
export type BlockFault =
  'length' | 'checksum' | 'generation' | 'incarnation' | 'state' | 'gone' | 'timeout';

/** Returns the first property that differs between two fingerprints. */
export const findMismatch = (
  expected: BlockFingerprint,
  actual: BlockFingerprint,
): BlockFault | undefined =>
  (['length', 'checksum', 'generation', 'incarnation'] as const).find(
    (field) => expected[field] !== actual[field],
  );

/**
 * Verifies a block after a read: both the received bytes and the status fetched after the read must
 * match what was committed. A status fetched before the read is not sufficient, since the block may
 * be freed and its name reused during the read.
 */
export const verifyBlock = (
  expected: BlockFingerprint,
  received: BlockFingerprint,
  statusAfter: BlockStatus | undefined,
): BlockFault | undefined => {
  if (!statusAfter) return 'gone';
  if (statusAfter.state !== 'committed') return 'state';
  return findMismatch(expected, received) ?? findMismatch(expected, statusAfter);
};
