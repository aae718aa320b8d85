import type { BlockStoreSettings } from '../deployment/index.js';
import type { AvailabilityZoneId } from '../ids.js';
import { hashString } from '../membership/rendezvous.js';
import { EpochWindow } from './epochWindow.js';
import type { EpochProof } from './epochWindow.js';

/** Change of a block, as reported by a block store. */
export interface StoredBlockChange {
  /** Whether the block is stored completely; false for a partial block. */
  readonly isPresent: boolean;
  readonly salt: string;
  readonly partId: string;
  readonly tokens: number;
}

/** Fill ratio up to which a store is used; the rest absorbs concurrent saves from other VMs. */
const MAX_FILL_RATIO = 0.95;

/** Multiple of its capacity that a store's blocks may take; events that are lost leave some listed. */
const MAX_LISTED_RATIO = 1.5;

/** Maximum number of blocks of all stores together, of which each may list an equal share. */
const MAX_LISTED_BLOCKS = 150_000;

/** Weight of stores in the engine's own zone, where a transfer takes half as long. */
const SAME_ZONE_WEIGHT = 4;

/** Time in milliseconds before a part may be saved again; its event may still be in flight. */
const RESAVE_DELAY_MS = 4_000;

/** Change of the clock offset, in milliseconds, that counts as a step of the servers' clock. */
const CLOCK_STEP_THRESHOLD_MS = 5_000;

const UINT32_RANGE = 2 ** 32;

/** Builds the key of a prompt part, unique across salts. */
export const buildBlockKey = (salt: string, partId: string): string => `${salt}/${partId}`;

/** Splits a key built by `buildBlockKey`. */
export const splitBlockKey = (key: string): { readonly salt: string; readonly partId: string } => {
  const separatorIndex = key.lastIndexOf('/');
  return { salt: key.slice(0, separatorIndex), partId: key.slice(separatorIndex + 1) };
};

interface StoreState {
  settings: BlockStoreSettings;
  /** Undefined while the store does not respond. */
  epoch: number | undefined;
  readonly window: EpochWindow;
  readonly blocks: Map<string, number>;
  usedTokens: number;
}

/**
 * Tracks which blocks the stores hold, based on their events, and selects where to save new ones.
 * A block counts as stored only once its event arrives, so a lost event costs at most a cache read.
 */
export class BlockDirectory {
  private readonly stores = new Map<string, StoreState>();

  private readonly savedAtMs = new Map<string, number>();

  /** Offset of the servers' clock from this process's monotonic clock, in milliseconds. */
  private clockOffsetMs: number | undefined;

  constructor(private readonly createWindow = () => new EpochWindow()) {}

  /** Applies the list of stores of the newest configuration; known stores keep their blocks. */
  updateStores(settings: readonly BlockStoreSettings[]): void {
    const listed = new Set(settings.map(({ address }) => address));
    settings.forEach((store) => {
      const known = this.stores.get(store.address);
      if (known) known.settings = store;
      else {
        this.stores.set(store.address, {
          settings: store,
          epoch: undefined,
          window: this.createWindow(),
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

  /** Sets a store's epoch; a new epoch starts empty. @returns whether the epoch changed */
  updateEpoch(address: string, epoch: number): boolean {
    const store = this.stores.get(address);
    if (!store || store.epoch === epoch) return false;
    store.window.recordEpoch(epoch);
    store.epoch = epoch;
    store.blocks.clear();
    store.usedTokens = 0;
    return true;
  }

  /**
   * Records that a store was in the epoch that is known of it.
   *
   * @param clockMs time on the servers' clock
   */
  recordConfirmation(address: string, clockMs: number): void {
    this.stores.get(address)?.window.recordConfirmation(clockMs);
  }

  /**
   * Computes how long a fetch from a store may take from now, in milliseconds: until then, nothing is
   * saved there if it has restarted meanwhile.
   */
  computeMaxFetchMs(address: string): number {
    const limitMs = this.stores.get(address)?.window.fetchLimitMs ?? -Infinity;
    return Math.max(0, limitMs - (this.computeServerTimeMs(0) ?? Infinity));
  }

  /** Finds out on what a fetch from a store relies; undefined if nothing is known of it. */
  findProof(address: string): EpochProof | undefined {
    const window = this.stores.get(address)?.window;
    const serverTimeMs = this.computeServerTimeMs(0);
    if (window?.epoch === undefined || window.confirmedAtMs === undefined) return undefined;
    if (serverTimeMs === undefined) return undefined;
    return { epoch: window.epoch, ageMs: serverTimeMs - window.confirmedAtMs };
  }

  /** Updates the offset of the servers' clock; the least delayed reading is the most accurate. */
  updateServerClock(clockMs: number): void {
    const offsetMs = clockMs - performance.now();
    const isBetter = this.clockOffsetMs === undefined || offsetMs > this.clockOffsetMs;
    const isStep = Math.abs(offsetMs - (this.clockOffsetMs ?? offsetMs)) > CLOCK_STEP_THRESHOLD_MS;
    if (isBetter || isStep) this.clockOffsetMs = offsetMs;
  }

  /** Converts a delay from now to the servers' clock; undefined until their clock is known. */
  computeServerTimeMs(delayMs: number): number | undefined {
    if (this.clockOffsetMs === undefined) return undefined;
    return Math.round(performance.now() + this.clockOffsetMs + delayMs);
  }

  /** Drops all blocks of a store that does not respond. */
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
    if (!change.isPresent || change.tokens < 1) return;
    store.blocks.set(key, change.tokens);
    store.usedTokens += change.tokens;
  }

  /** Tells why a store's blocks can't be those that it holds; undefined if they can. */
  explainExcess(address: string): string | undefined {
    const store = this.stores.get(address);
    if (!store) return undefined;
    const { blocks, usedTokens, settings } = store;
    const maxBlocks = Math.floor(MAX_LISTED_BLOCKS / this.stores.size);
    if (blocks.size > maxBlocks) return `it lists over ${maxBlocks} blocks`;
    const { capacityTokens } = settings;
    if (usedTokens <= capacityTokens * MAX_LISTED_RATIO) return undefined;
    return `it lists blocks of ${usedTokens} tokens and has room for ${capacityTokens}`;
  }

  /** Returns whether any store holds the part. */
  isStored(key: string): boolean {
    for (const { blocks } of this.stores.values()) if (blocks.has(key)) return true;
    return false;
  }

  /** Finds the store with the fastest link among those that hold the complete part, as far as is known. */
  findFetchSource(key: string, tokens: number): BlockStoreSettings | undefined {
    const serverTimeMs = this.computeServerTimeMs(0) ?? -Infinity;
    let best: StoreState | undefined;
    this.stores.forEach((store) => {
      if ((store.blocks.get(key) ?? 0) < tokens) return;
      // What it holds may have been lost by now, or even be saved again.
      if (store.window.fetchLimitMs <= serverTimeMs) return;
      if (!best || store.settings.linkMbps > best.settings.linkMbps) best = store;
    });
    return best?.settings;
  }

  /**
   * Selects the store to save a part in, by rendezvous hashing weighted by free capacity, with a
   * preference for the engine's zone. Returns undefined if the part is already stored, was saved
   * within the last `RESAVE_DELAY_MS`, or fits in no store that may be written to.
   */
  reserveSaveTarget(key: string, tokens: number, zone: AvailabilityZoneId): string | undefined {
    const nowMs = performance.now();
    if (nowMs - (this.savedAtMs.get(key) ?? -Infinity) < RESAVE_DELAY_MS) return undefined;
    if (this.isStored(key)) return undefined;
    const serverTimeMs = this.computeServerTimeMs(0) ?? Infinity;
    let best: StoreState | undefined;
    let bestScore = -Infinity;
    this.stores.forEach((store) => {
      const freeTokens = store.settings.capacityTokens * MAX_FILL_RATIO - store.usedTokens;
      if (store.epoch === undefined || freeTokens < tokens) return;
      if (!store.window.canSave(serverTimeMs)) return;
      const unitHash = (hashString(`${key}@${store.settings.address}`) + 1) / (UINT32_RANGE + 1);
      const zoneWeight = store.settings.availabilityZone === zone ? SAME_ZONE_WEIGHT : 1;
      const score = (freeTokens * zoneWeight) / -Math.log(unitHash);
      if (score <= bestScore) return;
      best = store;
      bestScore = score;
    });
    if (!best) return undefined;
    this.recordSave(key, nowMs);
    return best.settings.address;
  }

  /** Lists all blocks of a store. */
  listBlocks(address: string): readonly StoredBlockChange[] {
    return [...this.scanBlocks(address)];
  }

  countBlocks(address: string): number {
    return this.stores.get(address)?.blocks.size ?? 0;
  }

  /** Lists a store's blocks while they change: what is added or replaced meanwhile comes last. */
  *scanBlocks(address: string): Generator<StoredBlockChange, void> {
    const store = this.stores.get(address);
    for (const [key, tokens] of store?.blocks ?? []) {
      if (this.stores.get(address) !== store) return;
      yield { ...splitBlockKey(key), isPresent: true, tokens };
    }
  }

  /** Lists the keys of a store's blocks whose salts may be freed. */
  listFreeableKeys(address: string, canFree: (salt: string) => boolean): readonly string[] {
    const blocks = this.stores.get(address)?.blocks ?? new Map<string, number>();
    return [...blocks.keys()].filter((key) => canFree(splitBlockKey(key).salt));
  }

  /** Returns the epoch of a store; undefined until it is known. */
  findEpoch(address: string): number | undefined {
    return this.stores.get(address)?.epoch;
  }

  private recordSave(key: string, nowMs: number): void {
    this.savedAtMs.delete(key);
    this.savedAtMs.set(key, nowMs);
    for (const [savedKey, keySavedAtMs] of this.savedAtMs) {
      if (nowMs - keySavedAtMs < RESAVE_DELAY_MS) break;
      this.savedAtMs.delete(savedKey);
    }
  }
}
