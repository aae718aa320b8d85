import { BlockFaultError } from './blockFaultError.js';
import { BlockReader } from './blockReader.js';
import { verifyBlock } from './blockFingerprint.js';
import type { StoredBlock } from './blockFingerprint.js';
import { BLOCK_READ_TIMEOUT_MS } from './constants.js';

/** Block reader that verifies each block after reading it. */
export class VerifyingBlockReader extends BlockReader {
  override async read(block: StoredBlock, signal: AbortSignal): Promise<Uint8Array> {
    // The grace period of tombstones exceeds this timeout, so reads end before the bytes are deleted.
    const limit = new AbortController();
    const timer = setTimeout(
      () => limit.abort(new BlockFaultError('timeout')),
      BLOCK_READ_TIMEOUT_MS,
    );
    const limited = AbortSignal.any([signal, limit.signal]);
    try {
      const { bytes, fingerprint } = await this.source.read(block, limited);
      const status = await this.source.fetchStatus(block, limited);
      limited.throwIfAborted();
      const fault = verifyBlock(block, fingerprint, status);
      if (fault) throw new BlockFaultError(fault);
      return bytes;
    } finally {
      clearTimeout(timer);
    }
  }
}
