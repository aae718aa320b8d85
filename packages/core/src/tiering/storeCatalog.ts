import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { toId } from '../ids.js';
import type { AvailabilityZoneId, BlockKey, UpstreamId, WorkloadId } from '../ids.js';
import { parseBlockKey } from '../prefix/promptBlocks.js';
import { BLOCK_TOKENS } from '../prefix/constants.js';
import type { BlockStatus, StoredBlock } from './blockFingerprint.js';
import {
  EVICTION_SAMPLE_COUNT,
  MAX_CONSECUTIVE_FAILURES,
  STORE_RETRY_DELAY_MS,
} from './constants.js';

/** Workload of blocks that were stored by another VM. */
const UNKNOWN_WORKLOAD = toId<WorkloadId>('unknown');

/** Current state of a store VM. */
export interface StoreView {
  readonly storeId: UpstreamId;
  readonly availabilityZone: AvailabilityZoneId;
  /** Whether it may be used: its zone is in service and it is not leaving. */
  readonly eligible: boolean;
  readonly incarnation: string;
  readonly capacityBytes: number;
  readonly linkBytesPerSecond: number;
  /** Transfers on its link, including those of other VMs. */
  readonly activeTransfers: number;
}

/** Committed block with the inputs of its value. */
export interface CatalogEntry {
  readonly block: StoredBlock;
  readonly workloadId: WorkloadId;
  /** Position in the prompt; a block is only usable together with all earlier ones. */
  readonly position: number;
  readonly tokens: number;
  /** Following block of the prompt; undefined for the last one. */
  next: BlockKey | undefined;
  lastUsedAtMs: number;
}

/** Block listed in a store VM's manifest. */
export interface ManifestBlock extends Omit<BlockStatus, 'incarnation'> {
  readonly name: string;
}

/** Blocks committed on one store VM, and whether the store VM can be used. */
export class StoreCatalog {
  private readonly byKey = new Map<BlockKey, CatalogEntry>();

  private readonly entryList: CatalogEntry[] = [];

  private readonly positionsInList = new Map<CatalogEntry, number>();

  private consecutiveFailures = 0;

  private retryAtMs = 0;

  private reservedBytes = 0;

  private storedBytes = 0;

  constructor(public view: StoreView) {}

  get size(): number {
    return this.entryList.length;
  }

  /** Bytes stored or reserved for running exports. */
  get usedBytes(): number {
    return this.storedBytes + this.reservedBytes;
  }

  /** Whether the store VM may be used for imports and exports now. */
  get usable(): boolean {
    return this.view.eligible && Date.now() >= this.retryAtMs;
  }

  get(key: BlockKey): CatalogEntry | undefined {
    return this.byKey.get(key);
  }

  list(): readonly CatalogEntry[] {
    return this.entryList;
  }

  add(entry: CatalogEntry): void {
    this.remove(entry.block.key);
    this.byKey.set(entry.block.key, entry);
    this.positionsInList.set(entry, this.entryList.length);
    this.entryList.push(entry);
    this.storedBytes += entry.block.length;
  }

  remove(key: BlockKey): CatalogEntry | undefined {
    const entry = this.byKey.get(key);
    if (!entry) return undefined;
    this.byKey.delete(key);
    const positionInList = this.positionsInList.get(entry)!;
    this.positionsInList.delete(entry);
    const last = this.entryList.pop()!;
    if (last !== entry) {
      this.entryList[positionInList] = last;
      this.positionsInList.set(last, positionInList);
    }
    this.storedBytes -= entry.block.length;
    return entry;
  }

  /** Returns whether a block of this size fits without evicting another one. */
  hasRoom(bytes: number): boolean {
    return this.usedBytes + bytes <= this.view.capacityBytes;
  }

  reserve(bytes: number): void {
    this.reservedBytes += bytes;
  }

  release(bytes: number): void {
    this.reservedBytes = Math.max(0, this.reservedBytes - bytes);
  }

  /** Finds the last stored block of an entry's prompt. */
  findTail(entry: CatalogEntry): CatalogEntry {
    let tail = entry;
    for (;;) {
      const nextEntry = tail.next === undefined ? undefined : this.byKey.get(tail.next);
      if (!nextEntry || nextEntry.position <= tail.position) break;
      tail = nextEntry;
    }
    return tail;
  }

  /** Finds the least valuable entry of a random sample; of equal ones, the latest in its prompt. */
  findLeastValuable(
    random: RandomGenerator,
    computeValue: (entry: CatalogEntry) => number,
  ): { readonly entry: CatalogEntry; readonly value: number } | undefined {
    let least: { entry: CatalogEntry; value: number } | undefined;
    const samples = Math.min(EVICTION_SAMPLE_COUNT, this.entryList.length);
    for (let i = 0; i < samples; i += 1) {
      const entry = this.entryList[uniformInt(random, 0, this.entryList.length - 1)]!;
      const value = computeValue(entry);
      const isLess =
        !least ||
        value < least.value ||
        (value === least.value && entry.position > least.entry.position);
      if (isLess) least = { entry, value };
    }
    return least;
  }

  /** Records the outcome of a call to the store VM; consecutive failures suspend its use. */
  recordOutcome(succeeded: boolean): void {
    this.consecutiveFailures = succeeded ? 0 : this.consecutiveFailures + 1;
    if (this.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES)
      this.retryAtMs = Date.now() + STORE_RETRY_DELAY_MS;
  }

  /**
   * Reconciles the catalog with a store VM's manifest. After a restart the manifest may be stale,
   * so an entry is kept only if its length, checksum and generation match what was committed.
   * Blocks stored by other VMs are added; reads are verified in any case.
   */
  applyManifest(incarnation: string, blocks: readonly ManifestBlock[]): void {
    const listed = new Map(blocks.map((block) => [block.name, block]));
    for (const entry of [...this.entryList]) {
      const found = listed.get(entry.block.name);
      const { length, checksum, generation } = entry.block;
      this.remove(entry.block.key);
      const isSame =
        found?.state === 'committed' &&
        found.length === length &&
        found.checksum === checksum &&
        found.generation === generation;
      if (isSame) this.add({ ...entry, block: { ...entry.block, incarnation } });
    }
    blocks.forEach((block) => this.addListed(block, incarnation));
  }

  private addListed(
    { name, length, checksum, generation, state }: ManifestBlock,
    incarnation: string,
  ) {
    const key = toId<BlockKey>(name.split('.')[0]!);
    if (state !== 'committed' || this.byKey.has(key) || !parseBlockKey(key)) return;
    const { storeId } = this.view;
    this.add({
      block: { key, storeId, name, length, checksum, generation, incarnation },
      workloadId: UNKNOWN_WORKLOAD,
      position: 0,
      tokens: BLOCK_TOKENS,
      next: undefined,
      lastUsedAtMs: Date.now(),
    });
  }
}
