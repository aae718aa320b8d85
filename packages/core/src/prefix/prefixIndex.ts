import type { BlockKey, UpstreamId } from '../ids.js';
import type { PromptBlock } from '../routing/router.js';
import { parseBlockKey } from './blockChain.js';
import type { KeyWords } from './blockChain.js';
import {
  DEFAULT_MAX_LOCATIONS,
  GAP_TRUST_FACTOR,
  MIN_TRUST,
  TRUST_LEARN_RATE,
} from './constants.js';
import { LocationTable, MAX_HOLDER_NUMBER } from './locationTable.js';

/** What one upstream or store VM holds of a prompt. */
export interface HeldBlocks {
  readonly upstreamId: UpstreamId;
  /** Blocks held without a gap from the beginning. */
  leading: number;
  /** Positions of all held blocks, ascending. */
  readonly positions: number[];
}

/** Share of the blocks listed for a holder that it is expected to hold really. */
interface HolderState {
  readonly number: number;
  readonly upstreamId: UpstreamId;
  trust: number;
}

/** Options of an index. */
export interface PrefixIndexOptions {
  /** Most locations held; the least recently used ones of the large accounts go first. */
  readonly maxLocations?: number;
}

/**
 * Which upstream or store VM holds which prompt block. A hint only: a wrong entry costs time and
 * never correctness, since the engine itself decides what it reuses.
 */
export class PrefixIndex {
  private readonly table: LocationTable;

  private readonly holders = new Map<UpstreamId, HolderState>();

  private readonly byNumber: (HolderState | undefined)[] = [undefined];

  private readonly freeNumbers: number[] = [];

  constructor(options: PrefixIndexOptions = {}) {
    this.table = new LocationTable(options.maxLocations ?? DEFAULT_MAX_LOCATIONS);
  }

  /** Locations held. */
  get size(): number {
    return this.table.size;
  }

  /** Bytes taken by the locations. */
  get bytes(): number {
    return this.table.bytes;
  }

  /** Notes that an upstream or store VM holds blocks. */
  addBlocks(upstreamId: UpstreamId, keys: readonly BlockKey[]): void {
    const { number } = this.ensureHolder(upstreamId);
    for (const key of keys) {
      const words = parseBlockKey(key);
      if (words) this.table.add(words, number);
    }
  }

  /** Notes that an upstream or store VM no longer holds blocks. */
  removeBlocks(upstreamId: UpstreamId, keys: readonly BlockKey[]): void {
    const holder = this.holders.get(upstreamId);
    if (!holder) return;
    for (const key of keys) {
      const words = parseBlockKey(key);
      if (words) this.table.remove(words, holder.number);
    }
  }

  /** Drops all that is listed for an upstream, as after its restart. */
  clearHolder(upstreamId: UpstreamId): void {
    const holder = this.holders.get(upstreamId);
    if (!holder) return;
    this.table.clear(holder.number);
    this.holders.delete(upstreamId);
    this.byNumber[holder.number] = undefined;
    this.freeNumbers.push(holder.number);
  }

  /**
   * Finds who holds which blocks of a prompt; stops at the first block that is to be had nowhere.
   *
   * @param isStored tells whether the block at a position can be had without this index
   */
  findHolders(
    blocks: readonly PromptBlock[],
    isStored: (position: number) => boolean = () => false,
  ): HeldBlocks[] {
    const found = new Map<number, HeldBlocks>();
    let isHeld = true;
    for (let position = 0; position < blocks.length && isHeld; position += 1) {
      const words = parseBlockKey(blocks[position]!.key);
      isHeld = words !== undefined && this.noteHolders(found, words, position);
      isHeld ||= isStored(position);
    }
    return [...found.values()];
  }

  /** Gives the share of an upstream's listed blocks that it is expected to hold really. */
  getTrust(upstreamId: UpstreamId): number {
    return this.holders.get(upstreamId)?.trust ?? 1;
  }

  /** Lowers the trust in an upstream's entries after events were lost for good. */
  noteGap(upstreamId: UpstreamId): void {
    const holder = this.ensureHolder(upstreamId);
    holder.trust = Math.max(MIN_TRUST, holder.trust * GAP_TRUST_FACTOR);
  }

  /**
   * Corrects the index by the engine's own count of cached tokens.
   *
   * @param expectedTokens tokens that the index held to be cached when the request was routed
   */
  learnUsage(
    upstreamId: UpstreamId,
    blocks: readonly PromptBlock[],
    cachedTokens: number,
    expectedTokens: number,
  ): void {
    const holder = this.ensureHolder(upstreamId);
    if (expectedTokens > 0) {
      const share = Math.min(1, cachedTokens / expectedTokens);
      holder.trust += TRUST_LEARN_RATE * (share - holder.trust);
      holder.trust = Math.max(MIN_TRUST, holder.trust);
    }
    // The engine stores what it computed, so after the run it holds the whole chain.
    this.addBlocks(
      upstreamId,
      blocks.map((block) => block.key),
    );
  }

  /** Gives counts for the state dump; keys and prompts are left out. */
  dump(): unknown {
    return {
      locations: this.size,
      bytes: this.bytes,
      accounts: [...this.table.countByAccount()].map(([accountTag, locations]) => ({
        accountTag: accountTag.toString(16),
        locations,
      })),
      holders: [...this.holders.values()].map(({ upstreamId, trust }) => ({ upstreamId, trust })),
    };
  }

  private noteHolders(found: Map<number, HeldBlocks>, key: KeyWords, position: number): boolean {
    let isHeld = false;
    this.table.visit(key, (number) => {
      isHeld = true;
      this.noteHeld(found, number, position);
    });
    return isHeld;
  }

  private noteHeld(found: Map<number, HeldBlocks>, number: number, position: number): void {
    const holder = this.byNumber[number];
    if (!holder) return;
    let held = found.get(number);
    if (!held) {
      held = { upstreamId: holder.upstreamId, leading: 0, positions: [] };
      found.set(number, held);
    }
    if (held.leading === position) held.leading += 1;
    held.positions.push(position);
  }

  private ensureHolder(upstreamId: UpstreamId): HolderState {
    const known = this.holders.get(upstreamId);
    if (known) return known;
    const number = this.freeNumbers.pop() ?? this.byNumber.length;
    if (number > MAX_HOLDER_NUMBER) throw new RangeError('too many holders in one prefix index');
    const holder: HolderState = { number, upstreamId, trust: 1 };
    this.holders.set(upstreamId, holder);
    this.byNumber[number] = holder;
    return holder;
  }
}
