import type { BlockContent, BlockStatus, StoredBlock } from './blockFingerprint.js';

/** Access to the blocks of store VMs. */
export interface BlockSource {
  read(block: StoredBlock, signal: AbortSignal): Promise<BlockContent>;
  /** Fetches the current status; undefined if the block does not exist. */
  fetchStatus(block: StoredBlock, signal: AbortSignal): Promise<BlockStatus | undefined>;
}

/** Reads blocks from store VMs. */
export abstract class BlockReader {
  constructor(protected readonly source: BlockSource) {}

  /**
   * Reads a block.
   *
   * @throws BlockFaultError if the bytes are not those that were committed
   */
  abstract read(block: StoredBlock, signal: AbortSignal): Promise<Uint8Array>;
}
