import type { BlockStoreSettings } from '../deployment/index.js';
import type { AvailabilityZoneId } from '../ids.js';
import { hashText } from '../membership/rendezvous.js';

/** A change that a store tells of. */
export interface StoredBlockChange {
  /** Whether the block is there; a block that is only partly there is not. */
  readonly isPresent: boolean;
  readonly salt: string;
  readonly partId: string;
  readonly tokens: number;
}

/** Share of a store's room that saves fill; the rest takes what other VMs save meanwhile. */
const FILLED_SHARE = 0.95;

/** Weight of a store in the engine's own zone: its transfers take half the time of its link. */
const SAME_ZONE_WEIGHT = 4;

/** Time within which a part is not saved again, in milliseconds: its event is still under way. */
const SAVE_MEMORY_MS = 4_000;

/** Difference from which the servers' clock counts as set anew, in milliseconds. */
const CLOCK_STEP_MS = 5_000;

const UINT32_RANGE = 2 ** 32;

/** Builds the key of a part among the blocks of all salts. */
export const buildBlockKey = (salt: string, partId: string): string => `${salt}/${partId}`;

/** Takes a key apart again. */
export const splitBlockKey = (key: string): { readonly salt: string; readonly partId: string } => {
  const split = key.lastIndexOf('/');
  return { salt: key.slice(0, split), partId: key.slice(split + 1) };
};

interface KnownStore {
  readonly settings: BlockStoreSettings;
  epoch: number | undefined;
  readonly blocks: Map<string, number>;
  usedTokens: number;
}

/**
 * Knows which blocks the stores hold, by their events, and where to save the next one.
 * An event that never arrives costs a read at most: nothing is held to be there without one.
 */
export class BlockDirectory {
  private readonly stores = new Map<string, KnownStore>();

  private readonly saves = new Map<string, number>();

  /** Servers' clock less the monotonic clock of this process, in milliseconds. */
  private clockOffsetMs: number | undefined;

  /** Takes the stores of the newest configuration. */
  replaceStores(settings: readonly BlockStoreSettings[]): void {
    const listed = new Set(settings.map(({ address }) => address));
    settings.forEach((one) => {
      if (!this.stores.has(one.address)) {
        this.stores.set(one.address, {
          settings: one,
          epoch: undefined,
          blocks: new Map(),
          usedTokens: 0,
        });
      }
    });
    [...this.stores.keys()]
      .filter((address) => !listed.has(address))
      .forEach((address) => this.stores.delete(address));
  }

  listStores(): readonly BlockStoreSettings[] {
    return [...this.stores.values()].map(({ settings }) => settings);
  }

  /** Notes the run of a store; a new run holds nothing. @returns whether it is a new one */
  noteEpoch(address: string, epoch: number): boolean {
    const store = this.stores.get(address);
    if (!store || store.epoch === epoch) return false;
    store.epoch = epoch;
    store.blocks.clear();
    store.usedTokens = 0;
    return true;
  }

  /** Notes the servers' clock; the least delayed reading is the best. */
  noteClock(clockMs: number): void {
    const offsetMs = clockMs - performance.now();
    const isBetter = this.clockOffsetMs === undefined || offsetMs > this.clockOffsetMs;
    const isStep = Math.abs(offsetMs - (this.clockOffsetMs ?? offsetMs)) > CLOCK_STEP_MS;
    if (isBetter || isStep) this.clockOffsetMs = offsetMs;
  }

  /** Gives a time from now on by the servers' clock; undefined where it is not known. */
  computeServerTime(fromNowMs: number): number | undefined {
    if (this.clockOffsetMs === undefined) return undefined;
    return Math.round(performance.now() + this.clockOffsetMs + fromNowMs);
  }

  /** Forgets what a store holds: it does not answer. */
  clearStore(address: string): void {
    const store = this.stores.get(address);
    if (!store) return;
    store.blocks.clear();
    store.usedTokens = 0;
    store.epoch = undefined;
  }

  applyChange(address: string, change: StoredBlockChange): void {
    const store = this.stores.get(address);
    if (!store) return;
    const key = buildBlockKey(change.salt, change.partId);
    store.usedTokens -= store.blocks.get(key) ?? 0;
    store.blocks.delete(key);
    if (!change.isPresent) return;
    store.blocks.set(key, change.tokens);
    store.usedTokens += change.tokens;
  }

  /** Tells whether a store holds the part. */
  isStored(key: string): boolean {
    for (const { blocks } of this.stores.values()) if (blocks.has(key)) return true;
    return false;
  }

  /** Finds a store that holds a whole part; the fastest link comes first. */
  findStore(key: string, tokens: number): BlockStoreSettings | undefined {
    let best: KnownStore | undefined;
    this.stores.forEach((store) => {
      if ((store.blocks.get(key) ?? 0) < tokens) return;
      if (!best || store.settings.linkMbps > best.settings.linkMbps) best = store;
    });
    return best?.settings;
  }

  /**
   * Chooses the store to save a part in, by rendezvous weighted with free room, those in the
   * engine's zone first; undefined where it is saved already, was sent there a moment ago, or no
   * store has room.
   */
  takeSaveTarget(key: string, tokens: number, zone: AvailabilityZoneId): string | undefined {
    const nowMs = performance.now();
    if (nowMs - (this.saves.get(key) ?? -Infinity) < SAVE_MEMORY_MS) return undefined;
    if (this.isStored(key)) return undefined;
    let best: KnownStore | undefined;
    let bestScore = -Infinity;
    this.stores.forEach((store) => {
      const free = store.settings.capacityTokens * FILLED_SHARE - store.usedTokens;
      if (store.epoch === undefined || free < tokens) return;
      const chance = (hashText(`${key}@${store.settings.address}`) + 1) / (UINT32_RANGE + 1);
      const weight = store.settings.availabilityZone === zone ? SAME_ZONE_WEIGHT : 1;
      const score = (free * weight) / -Math.log(chance);
      if (score <= bestScore) return;
      best = store;
      bestScore = score;
    });
    if (!best) return undefined;
    this.noteSave(key, nowMs);
    return best.settings.address;
  }

  /** Lists all that a store holds. */
  listBlocks(address: string): readonly StoredBlockChange[] {
    const blocks = this.stores.get(address)?.blocks ?? new Map<string, number>();
    return [...blocks].map(([key, tokens]) => ({ ...splitBlockKey(key), isPresent: true, tokens }));
  }

  /** Lists the blocks of a store whose salts are no longer needed. */
  listFreeable(address: string, canFree: (salt: string) => boolean): readonly string[] {
    const blocks = this.stores.get(address)?.blocks ?? new Map<string, number>();
    return [...blocks.keys()].filter((key) => canFree(splitBlockKey(key).salt));
  }

  /** Gives the run of a store; undefined while it is not known. */
  findEpoch(address: string): number | undefined {
    return this.stores.get(address)?.epoch;
  }

  private noteSave(key: string, nowMs: number): void {
    this.saves.delete(key);
    this.saves.set(key, nowMs);
    for (const [known, atMs] of this.saves) {
      if (nowMs - atMs < SAVE_MEMORY_MS) break;
      this.saves.delete(known);
    }
  }
}
