import { BlockFaultError } from './blockFaultError.js';
import { BlockReader } from './blockReader.js';
import { verifyBlock } from './blockSeal.js';
import type { StoredBlock } from './blockSeal.js';
import { MAX_BLOCK_READ_MS } from './constants.js';

/** Reads blocks and verifies each after the read. */
export class VerifyingBlockReader extends BlockReader {
  override async read(block: StoredBlock, signal: AbortSignal): Promise<Uint8Array> {
    // A tombstone's grace is longer than this limit, so no read outlives the block's bytes.
    const limit = new AbortController();
    const timer = setTimeout(() => limit.abort(new BlockFaultError('timeout')), MAX_BLOCK_READ_MS);
    const limited = AbortSignal.any([signal, limit.signal]);
    try {
      const { bytes, seal } = await this.source.read(block, limited);
      const status = await this.source.fetchStatus(block, limited);
      limited.throwIfAborted();
      const fault = verifyBlock(block, seal, status);
      if (fault) throw new BlockFaultError(fault);
      return bytes;
    } finally {
      clearTimeout(timer);
    }
  }
}
