/* eslint-disable no-bitwise -- hashing works on 32-bit words */
import type { BlockKeyWords } from './promptBlocks.js';
import {
  INITIAL_LOCATION_TABLE_SLOTS,
  MAX_TABLE_LOAD_FACTOR,
  PRUNE_SAMPLE_SLOTS,
  PRUNED_LOCATIONS_FRACTION,
} from './constants.js';

const EMPTY = 0;
const TOMBSTONE = 0xffff;
const MS_PER_S = 1000;

/** Largest valid holder number; higher values are slot markers. */
export const MAX_HOLDER_NUMBER = TOMBSTONE - 1;

/** Callback invoked with each holder of a block. */
export type HolderVisitor = (holder: number) => void;

const getNowS = (): number => Math.floor(Date.now() / MS_PER_S);

/**
 * Multimap from block keys to holder numbers: a hash table with open addressing in typed arrays,
 * 18 bytes per slot. When it is full, it evicts the least recently used locations of the accounts
 * that have at least an even share of all locations.
 */
export class LocationTable {
  private slotCount = INITIAL_LOCATION_TABLE_SLOTS;

  private high = new Uint32Array(this.slotCount);

  private low = new Uint32Array(this.slotCount);

  private account = new Uint32Array(this.slotCount);

  private lastUsedS = new Uint32Array(this.slotCount);

  private holder = new Uint16Array(this.slotCount);

  private liveSlots = 0;

  private occupiedSlots = 0;

  private readonly accountCounts = new Map<number, number>();

  constructor(private readonly maxLocations: number) {}

  get size(): number {
    return this.liveSlots;
  }

  /** Size of the arrays in bytes. */
  get bytes(): number {
    return this.slotCount * 18;
  }

  /** Counts the locations by account tag. */
  countByAccount(): ReadonlyMap<number, number> {
    return this.accountCounts;
  }

  /** Visits the holders of a block and updates the locations' time of last use. */
  visit(key: BlockKeyWords, visitor: HolderVisitor): void {
    const nowS = getNowS();
    const mask = this.slotCount - 1;
    for (let slot = key.low & mask; this.holder[slot] !== EMPTY; slot = (slot + 1) & mask) {
      if (this.isMatch(slot, key)) {
        this.lastUsedS[slot] = nowS;
        visitor(this.holder[slot]!);
      }
    }
  }

  add(key: BlockKeyWords, holder: number): void {
    const found = this.find(key, holder);
    if (found >= 0) {
      this.lastUsedS[found] = getNowS();
      return;
    }
    if (this.liveSlots >= this.maxLocations) this.prune();
    if (this.occupiedSlots >= this.slotCount * MAX_TABLE_LOAD_FACTOR) this.replaceArrays();
    this.insert(key.high, key.low, key.accountTag, holder, getNowS());
    this.accountCounts.set(key.accountTag, (this.accountCounts.get(key.accountTag) ?? 0) + 1);
  }

  remove(key: BlockKeyWords, holder: number): void {
    const found = this.find(key, holder);
    if (found >= 0) this.removeSlot(found);
  }

  /** Removes all locations of a holder. */
  clear(holder: number): void {
    for (let slot = 0; slot < this.slotCount; slot += 1) {
      if (this.holder[slot] === holder) this.removeSlot(slot);
    }
  }

  private isMatch(slot: number, key: BlockKeyWords): boolean {
    return (
      this.low[slot] === key.low &&
      this.high[slot] === key.high &&
      this.account[slot] === key.accountTag &&
      this.holder[slot] !== TOMBSTONE
    );
  }

  private find(key: BlockKeyWords, holder: number): number {
    const mask = this.slotCount - 1;
    for (let slot = key.low & mask; this.holder[slot] !== EMPTY; slot = (slot + 1) & mask) {
      if (this.holder[slot] === holder && this.isMatch(slot, key)) return slot;
    }
    return -1;
  }

  private insert(high: number, low: number, account: number, holder: number, lastUsedS: number) {
    const mask = this.slotCount - 1;
    let slot = low & mask;
    while (this.holder[slot] !== EMPTY && this.holder[slot] !== TOMBSTONE) slot = (slot + 1) & mask;
    if (this.holder[slot] === EMPTY) this.occupiedSlots += 1;
    this.high[slot] = high;
    this.low[slot] = low;
    this.account[slot] = account;
    this.holder[slot] = holder;
    this.lastUsedS[slot] = lastUsedS;
    this.liveSlots += 1;
  }

  private removeSlot(slot: number): void {
    const account = this.account[slot]!;
    const remaining = (this.accountCounts.get(account) ?? 1) - 1;
    if (remaining > 0) this.accountCounts.set(account, remaining);
    else this.accountCounts.delete(account);
    this.holder[slot] = TOMBSTONE;
    this.liveSlots -= 1;
  }

  private isLive(slot: number): boolean {
    return this.holder[slot] !== EMPTY && this.holder[slot] !== TOMBSTONE;
  }

  private prune(): void {
    const evenShare = Math.floor(this.liveSlots / Math.max(this.accountCounts.size, 1));
    const isLargeAccount = (slot: number): boolean =>
      this.isLive(slot) && (this.accountCounts.get(this.account[slot]!) ?? 0) >= evenShare;
    const { cutoffS, largeShare } = this.findPruneCutoff(isLargeAccount);
    let remaining = Math.max(
      1,
      Math.ceil(this.liveSlots * Math.min(PRUNED_LOCATIONS_FRACTION, largeShare)),
    );
    for (let slot = 0; slot < this.slotCount && remaining > 0; slot += 1) {
      if (isLargeAccount(slot) && this.lastUsedS[slot]! <= cutoffS) {
        this.removeSlot(slot);
        remaining -= 1;
      }
    }
  }

  /** Estimates by sampling the time of last use up to which locations of large accounts are evicted. */
  private findPruneCutoff(isLargeAccount: (slot: number) => boolean) {
    const stride = Math.max(1, Math.floor(this.slotCount / PRUNE_SAMPLE_SLOTS));
    const lastUsedTimesS: number[] = [];
    let sampledLive = 0;
    for (let slot = 0; slot < this.slotCount; slot += stride) {
      if (this.isLive(slot)) sampledLive += 1;
      if (isLargeAccount(slot)) lastUsedTimesS.push(this.lastUsedS[slot]!);
    }
    if (lastUsedTimesS.length === 0) return { cutoffS: getNowS(), largeShare: 1 };
    lastUsedTimesS.sort((left, right) => left - right);
    const rank = Math.min(
      lastUsedTimesS.length - 1,
      Math.ceil(sampledLive * PRUNED_LOCATIONS_FRACTION),
    );
    return { cutoffS: lastUsedTimesS[rank]!, largeShare: lastUsedTimesS.length / sampledLive };
  }

  private replaceArrays(): void {
    const { slotCount, high, low, account, lastUsedS, holder } = this;
    // Tombstones alone may have filled the table, so grow only if enough slots are live.
    if (this.liveSlots > slotCount * MAX_TABLE_LOAD_FACTOR * 0.5) this.slotCount = slotCount * 2;
    this.high = new Uint32Array(this.slotCount);
    this.low = new Uint32Array(this.slotCount);
    this.account = new Uint32Array(this.slotCount);
    this.lastUsedS = new Uint32Array(this.slotCount);
    this.holder = new Uint16Array(this.slotCount);
    this.liveSlots = 0;
    this.occupiedSlots = 0;
    for (let slot = 0; slot < slotCount; slot += 1) {
      if (holder[slot] !== EMPTY && holder[slot] !== TOMBSTONE) {
        this.insert(high[slot]!, low[slot]!, account[slot]!, holder[slot]!, lastUsedS[slot]!);
      }
    }
  }
}
