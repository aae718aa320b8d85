import type { BlockKey, UpstreamId } from '../ids.js';
import type { PromptBlock } from '../routing/router.js';
import { parseBlockKey } from './promptBlocks.js';
import type { BlockKeyWords } from './promptBlocks.js';
import {
  DEFAULT_MAX_LOCATIONS,
  GAP_ACCURACY_FACTOR,
  MIN_ACCURACY,
  ACCURACY_EWMA_WEIGHT,
} from './constants.js';
import { LocationTable, MAX_HOLDER_NUMBER } from './locationTable.js';

/** Blocks of a prompt that one upstream or store VM holds. */
export interface HeldBlocks {
  readonly upstreamId: UpstreamId;
  /** Number of consecutive blocks held from the start of the prompt. */
  leadingCount: number;
  /** Positions of all held blocks, in ascending order. */
  readonly positions: number[];
}

interface HolderState {
  readonly number: number;
  readonly upstreamId: UpstreamId;
  /** Expected fraction of the blocks indexed for the holder that it actually holds. */
  accuracy: number;
}

export interface PrefixIndexOptions {
  /** Limit on the number of locations; least recently used ones of large accounts are evicted. */
  readonly maxLocations?: number;
}

/**
 * Index of the upstreams and store VMs that hold each prompt block. Entries are hints: a wrong one
 * costs time but never correctness, since the engine itself decides which blocks it reuses.
 */
export class PrefixIndex {
  private readonly table: LocationTable;

  private readonly holders = new Map<UpstreamId, HolderState>();

  private readonly holdersByNumber: (HolderState | undefined)[] = [undefined];

  private readonly freeNumbers: number[] = [];

  constructor(options: PrefixIndexOptions = {}) {
    this.table = new LocationTable(options.maxLocations ?? DEFAULT_MAX_LOCATIONS);
  }

  /** Number of locations. */
  get size(): number {
    return this.table.size;
  }

  /** Memory used by the locations, in bytes. */
  get bytes(): number {
    return this.table.bytes;
  }

  /** Adds blocks that an upstream or store VM holds. */
  addBlocks(upstreamId: UpstreamId, keys: readonly BlockKey[]): void {
    const { number } = this.ensureHolder(upstreamId);
    for (const key of keys) {
      const words = parseBlockKey(key);
      if (words) this.table.add(words, number);
    }
  }

  /** Removes blocks that an upstream or store VM no longer holds. */
  removeBlocks(upstreamId: UpstreamId, keys: readonly BlockKey[]): void {
    const holder = this.holders.get(upstreamId);
    if (!holder) return;
    for (const key of keys) {
      const words = parseBlockKey(key);
      if (words) this.table.remove(words, holder.number);
    }
  }

  /** Removes all entries of an upstream or store VM, for instance after its restart. */
  clearHolder(upstreamId: UpstreamId): void {
    const holder = this.holders.get(upstreamId);
    if (!holder) return;
    this.table.clear(holder.number);
    this.holders.delete(upstreamId);
    this.holdersByNumber[holder.number] = undefined;
    this.freeNumbers.push(holder.number);
  }

  /**
   * Finds the holders of a prompt's blocks; stops at the first block that is not available anywhere.
   *
   * @param isStored returns whether the block at a position is available outside this index
   */
  findHolders(
    blocks: readonly PromptBlock[],
    isStored: (position: number) => boolean = () => false,
  ): HeldBlocks[] {
    const found = new Map<number, HeldBlocks>();
    let isHeld = true;
    for (let position = 0; position < blocks.length && isHeld; position += 1) {
      const words = parseBlockKey(blocks[position]!.key);
      isHeld = words !== undefined && this.collectHolders(found, words, position);
      isHeld ||= isStored(position);
    }
    return [...found.values()];
  }

  /** Returns the expected fraction of an upstream's indexed blocks that it actually holds. */
  getAccuracy(upstreamId: UpstreamId): number {
    return this.holders.get(upstreamId)?.accuracy ?? 1;
  }

  /** Lowers the accuracy of an upstream's entries after events were lost permanently. */
  recordGap(upstreamId: UpstreamId): void {
    const holder = this.ensureHolder(upstreamId);
    holder.accuracy = Math.max(MIN_ACCURACY, holder.accuracy * GAP_ACCURACY_FACTOR);
  }

  /**
   * Corrects the index with the number of cached tokens that the engine reports.
   *
   * @param expectedTokens cached tokens that the index predicted when the request was routed
   */
  recordUsage(
    upstreamId: UpstreamId,
    blocks: readonly PromptBlock[],
    cachedTokens: number,
    expectedTokens: number,
  ): void {
    const holder = this.ensureHolder(upstreamId);
    if (expectedTokens > 0) {
      const share = Math.min(1, cachedTokens / expectedTokens);
      holder.accuracy += ACCURACY_EWMA_WEIGHT * (share - holder.accuracy);
      holder.accuracy = Math.max(MIN_ACCURACY, holder.accuracy);
    }
    // The engine caches what it computed, so after the request it holds all blocks of the prompt.
    this.addBlocks(
      upstreamId,
      blocks.map((block) => block.key),
    );
  }

  /** Returns counts for the state dump, without keys or prompt contents. */
  dump(): unknown {
    return {
      locations: this.size,
      bytes: this.bytes,
      accounts: [...this.table.countByAccount()].map(([accountTag, locations]) => ({
        accountTag: accountTag.toString(16),
        locations,
      })),
      holders: [...this.holders.values()].map(({ upstreamId, accuracy }) => ({
        upstreamId,
        trust: accuracy,
      })),
    };
  }

  private collectHolders(
    found: Map<number, HeldBlocks>,
    key: BlockKeyWords,
    position: number,
  ): boolean {
    let isHeld = false;
    this.table.visit(key, (number) => {
      isHeld = true;
      this.addHeldPosition(found, number, position);
    });
    return isHeld;
  }

  private addHeldPosition(found: Map<number, HeldBlocks>, number: number, position: number): void {
    const holder = this.holdersByNumber[number];
    if (!holder) return;
    let held = found.get(number);
    if (!held) {
      held = { upstreamId: holder.upstreamId, leadingCount: 0, positions: [] };
      found.set(number, held);
    }
    if (held.leadingCount === position) held.leadingCount += 1;
    held.positions.push(position);
  }

  private ensureHolder(upstreamId: UpstreamId): HolderState {
    const known = this.holders.get(upstreamId);
    if (known) return known;
    const number = this.freeNumbers.pop() ?? this.holdersByNumber.length;
    if (number > MAX_HOLDER_NUMBER)
      throw new RangeError('prefix index exceeds the maximum number of holders');
    const holder: HolderState = { number, upstreamId, accuracy: 1 };
    this.holders.set(upstreamId, holder);
    this.holdersByNumber[number] = holder;
    return holder;
  }
}
