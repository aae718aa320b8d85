import type { BlockFault } from './blockSeal.js';

/** A block that was refused. */
export class BlockFaultError extends Error {
  override readonly name = 'BlockFaultError';

  constructor(readonly fault: BlockFault) {
    super(`stored block failed verification: ${fault}`);
  }
}
