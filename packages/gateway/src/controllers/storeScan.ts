import type { BlockDirectory, StoredBlockChange } from '@goldcrestscale/core';
import type { RelayedBlocks } from '../mesh/feedMessage.js';
import { MAX_PART_BYTES, estimateChangeBytes } from '../mesh/feedParts.js';

/** Dependencies of a scan. */
export interface StoreScanOptions {
  readonly blocks: BlockDirectory;
  readonly address: string;
  /** Whether this VM still reads the store directly. */
  readonly isRead: () => boolean;
  /** Returns the offset of the store's next event. */
  readonly getNextOffset: () => number | undefined;
}

/**
 * Lists the contents of a store in parts, between which they may change. Each part tells the present; a
 * receiver that gets the changes as well, in the same order, ends up with the contents of the store.
 */
export class StoreScan {
  private readonly iterator: Iterator<StoredBlockChange, void>;

  /** Number of blocks that are left of those at the begin; blocks that have changed since come behind them. */
  private remainingBlocks: number;

  private isBegun = false;

  constructor(private readonly options: StoreScanOptions) {
    const { blocks, address } = options;
    this.iterator = blocks.scanBlocks(address);
    this.remainingBlocks = blocks.countBlocks(address);
  }

  /** @returns undefined if this VM does not read the store directly any more */
  nextPart(): RelayedBlocks | undefined {
    const { blocks, address, isRead, getNextOffset } = this.options;
    if (!isRead()) return undefined;
    const epoch = blocks.findEpoch(address);
    const changes = epoch === undefined ? [] : this.takeBlocks();
    const hasMore = epoch !== undefined && this.remainingBlocks > 0;
    const isWhole = !this.isBegun;
    this.isBegun = true;
    const next = hasMore ? undefined : getNextOffset();
    return { address, epoch, isWhole, clockMs: undefined, changes, next, hasMore };
  }

  private takeBlocks(): readonly StoredBlockChange[] {
    const taken: StoredBlockChange[] = [];
    for (let bytes = 0; this.remainingBlocks > 0 && bytes < MAX_PART_BYTES;) {
      const { value, done } = this.iterator.next();
      this.remainingBlocks = done ? 0 : this.remainingBlocks - 1;
      if (value) {
        taken.push(value);
        bytes += estimateChangeBytes(value);
      }
    }
    return taken;
  }
}
