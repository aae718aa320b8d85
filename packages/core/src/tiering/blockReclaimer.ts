import { TOMBSTONE_GRACE_MS } from './constants.js';
import type { StoredBlock } from './blockFingerprint.js';

/** Deletes blocks from store VMs. */
export interface BlockRemover {
  markFreed(block: StoredBlock, signal: AbortSignal): Promise<void>;
  delete(block: StoredBlock, signal: AbortSignal): Promise<void>;
}

interface Tombstone {
  readonly block: StoredBlock;
  readonly deleteAtMs: number;
}

/** Frees blocks in two steps: a tombstone rejects new reads, deletion waits for running reads. */
export class BlockReclaimer {
  private readonly tombstones: Tombstone[] = [];

  constructor(
    private readonly remover: BlockRemover,
    private readonly graceMs: number = TOMBSTONE_GRACE_MS,
  ) {}

  /** Number of blocks waiting for deletion. */
  get pending(): number {
    return this.tombstones.length;
  }

  /** Marks a block as freed; its bytes are kept until the grace period ends. */
  async release(block: StoredBlock, signal: AbortSignal): Promise<void> {
    await this.remover.markFreed(block, signal);
    this.tombstones.push({ block, deleteAtMs: Date.now() + this.graceMs });
  }

  /** Deletes the blocks whose grace period has ended. */
  async sweep(signal: AbortSignal): Promise<void> {
    while (this.tombstones.length > 0 && this.tombstones[0]!.deleteAtMs <= Date.now()) {
      const { block } = this.tombstones.shift()!;
      await this.remover.delete(block, signal);
    }
  }
}
