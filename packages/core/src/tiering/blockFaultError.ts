import type { BlockFault } from './blockFingerprint.js';

/** Thrown if a stored block fails verification. */
export class BlockFaultError extends Error {
  override readonly name = 'BlockFaultError';

  constructor(readonly fault: BlockFault) {
    super(`stored block failed verification: ${fault}`);
  }
}
