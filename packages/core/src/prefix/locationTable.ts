/* eslint-disable no-bitwise -- hashing works on 32-bit words */
import type { KeyWords } from './blockChain.js';
import { INITIAL_TABLE_SLOTS, MAX_TABLE_LOAD, PRUNE_SAMPLES, PRUNE_SHARE } from './constants.js';

const FREE = 0;
const REMOVED = 0xffff;
const MS_PER_S = 1000;

/** Largest number that names a holder. */
export const MAX_HOLDER_NUMBER = REMOVED - 1;

/** Called for each holder of a block. */
export type HolderVisitor = (holder: number) => void;

const getNowS = (): number => Math.floor(Date.now() / MS_PER_S);

/**
 * Multimap from block keys to holder numbers in typed arrays, 18 bytes a slot, with open
 * addressing. Bounded: when full it drops the least recently used locations of the accounts that
 * hold at least an even share of it.
 */
export class LocationTable {
  private slots = INITIAL_TABLE_SLOTS;

  private high = new Uint32Array(this.slots);

  private low = new Uint32Array(this.slots);

  private account = new Uint32Array(this.slots);

  private touchedS = new Uint32Array(this.slots);

  private holder = new Uint16Array(this.slots);

  private live = 0;

  private used = 0;

  private readonly accountCounts = new Map<number, number>();

  constructor(private readonly maxLocations: number) {}

  get size(): number {
    return this.live;
  }

  /** Bytes of the arrays. */
  get bytes(): number {
    return this.slots * 18;
  }

  /** Counts the locations by account tag. */
  countByAccount(): ReadonlyMap<number, number> {
    return this.accountCounts;
  }

  /** Visits the holders of a block and marks them as used now. */
  visit(key: KeyWords, visitor: HolderVisitor): void {
    const nowS = getNowS();
    const mask = this.slots - 1;
    for (let slot = key.low & mask; this.holder[slot] !== FREE; slot = (slot + 1) & mask) {
      if (this.isMatch(slot, key)) {
        this.touchedS[slot] = nowS;
        visitor(this.holder[slot]!);
      }
    }
  }

  add(key: KeyWords, holder: number): void {
    const found = this.find(key, holder);
    if (found >= 0) {
      this.touchedS[found] = getNowS();
      return;
    }
    if (this.live >= this.maxLocations) this.prune();
    if (this.used >= this.slots * MAX_TABLE_LOAD) this.replaceArrays();
    this.insert(key.high, key.low, key.accountTag, holder, getNowS());
    this.accountCounts.set(key.accountTag, (this.accountCounts.get(key.accountTag) ?? 0) + 1);
  }

  remove(key: KeyWords, holder: number): void {
    const found = this.find(key, holder);
    if (found >= 0) this.removeSlot(found);
  }

  /** Removes every location of a holder. */
  clear(holder: number): void {
    for (let slot = 0; slot < this.slots; slot += 1) {
      if (this.holder[slot] === holder) this.removeSlot(slot);
    }
  }

  private isMatch(slot: number, key: KeyWords): boolean {
    return (
      this.low[slot] === key.low &&
      this.high[slot] === key.high &&
      this.account[slot] === key.accountTag &&
      this.holder[slot] !== REMOVED
    );
  }

  private find(key: KeyWords, holder: number): number {
    const mask = this.slots - 1;
    for (let slot = key.low & mask; this.holder[slot] !== FREE; slot = (slot + 1) & mask) {
      if (this.holder[slot] === holder && this.isMatch(slot, key)) return slot;
    }
    return -1;
  }

  private insert(high: number, low: number, account: number, holder: number, touchedS: number) {
    const mask = this.slots - 1;
    let slot = low & mask;
    while (this.holder[slot] !== FREE && this.holder[slot] !== REMOVED) slot = (slot + 1) & mask;
    if (this.holder[slot] === FREE) this.used += 1;
    this.high[slot] = high;
    this.low[slot] = low;
    this.account[slot] = account;
    this.holder[slot] = holder;
    this.touchedS[slot] = touchedS;
    this.live += 1;
  }

  private removeSlot(slot: number): void {
    const account = this.account[slot]!;
    const left = (this.accountCounts.get(account) ?? 1) - 1;
    if (left > 0) this.accountCounts.set(account, left);
    else this.accountCounts.delete(account);
    this.holder[slot] = REMOVED;
    this.live -= 1;
  }

  private isLive(slot: number): boolean {
    return this.holder[slot] !== FREE && this.holder[slot] !== REMOVED;
  }

  private prune(): void {
    const evenShare = Math.floor(this.live / Math.max(this.accountCounts.size, 1));
    const isLarge = (slot: number): boolean =>
      this.isLive(slot) && (this.accountCounts.get(this.account[slot]!) ?? 0) >= evenShare;
    const { limitS, largeShare } = this.findAgeLimit(isLarge);
    let left = Math.max(1, Math.ceil(this.live * Math.min(PRUNE_SHARE, largeShare)));
    for (let slot = 0; slot < this.slots && left > 0; slot += 1) {
      if (isLarge(slot) && this.touchedS[slot]! <= limitS) {
        this.removeSlot(slot);
        left -= 1;
      }
    }
  }

  /** Finds the time of last use under which enough locations of large accounts fall. */
  private findAgeLimit(isLarge: (slot: number) => boolean) {
    const stride = Math.max(1, Math.floor(this.slots / PRUNE_SAMPLES));
    const times: number[] = [];
    let seen = 0;
    for (let slot = 0; slot < this.slots; slot += stride) {
      if (this.isLive(slot)) seen += 1;
      if (isLarge(slot)) times.push(this.touchedS[slot]!);
    }
    if (times.length === 0) return { limitS: getNowS(), largeShare: 1 };
    times.sort((left, right) => left - right);
    const rank = Math.min(times.length - 1, Math.ceil(seen * PRUNE_SHARE));
    return { limitS: times[rank]!, largeShare: times.length / seen };
  }

  private replaceArrays(): void {
    const { slots, high, low, account, touchedS, holder } = this;
    // Slots of removed locations alone may have filled the table; it grows only for live ones.
    if (this.live > slots * MAX_TABLE_LOAD * 0.5) this.slots = slots * 2;
    this.high = new Uint32Array(this.slots);
    this.low = new Uint32Array(this.slots);
    this.account = new Uint32Array(this.slots);
    this.touchedS = new Uint32Array(this.slots);
    this.holder = new Uint16Array(this.slots);
    this.live = 0;
    this.used = 0;
    for (let slot = 0; slot < slots; slot += 1) {
      if (holder[slot] !== FREE && holder[slot] !== REMOVED) {
        this.insert(high[slot]!, low[slot]!, account[slot]!, holder[slot]!, touchedS[slot]!);
      }
    }
  }
}
