import type { BlockContent, BlockStatus, StoredBlock } from './blockSeal.js';

/** Where blocks are read from. */
export interface BlockSource {
  read(block: StoredBlock, signal: AbortSignal): Promise<BlockContent>;
  /** Gives the present status; undefined where the block is not there. */
  fetchStatus(block: StoredBlock, signal: AbortSignal): Promise<BlockStatus | undefined>;
}

/** Reads blocks of store VMs. */
export abstract class BlockReader {
  constructor(protected readonly source: BlockSource) {}

  /**
   * Reads a block.
   *
   * @throws BlockFaultError where the bytes are not those that were committed
   */
  abstract read(block: StoredBlock, signal: AbortSignal): Promise<Uint8Array>;
}
