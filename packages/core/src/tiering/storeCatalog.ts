import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { toId } from '../ids.js';
import type { AvailabilityZoneId, BlockKey, UpstreamId, WorkloadId } from '../ids.js';
import { parseBlockKey } from '../prefix/blockChain.js';
import { BLOCK_TOKENS } from '../prefix/constants.js';
import type { BlockStatus, StoredBlock } from './blockSeal.js';
import { DROP_SAMPLES, STORE_FAILURE_LIMIT, STORE_RETRY_MS } from './constants.js';

/** Stands for the workload of blocks that another VM stored. */
const UNKNOWN_WORKLOAD = toId<WorkloadId>('unknown');

/** What is known of a store VM at this moment. */
export interface StoreView {
  readonly storeId: UpstreamId;
  readonly availabilityZone: AvailabilityZoneId;
  /** Whether it may be used: zone in, not leaving. */
  readonly eligible: boolean;
  readonly incarnation: string;
  readonly capacityBytes: number;
  readonly linkBytesPerSecond: number;
  /** Transfers on its link, those of other VMs included. */
  readonly activeTransfers: number;
}

/** A committed block with what its value follows from. */
export interface CatalogEntry {
  readonly block: StoredBlock;
  readonly workloadId: WorkloadId;
  /** Place in the prompt; a later block is worthless without the earlier ones. */
  readonly position: number;
  readonly tokens: number;
  /** Block that followed in the prompt; undefined for the last one. */
  next: BlockKey | undefined;
  lastUsedMs: number;
}

/** One block of a store VM's manifest. */
export interface ManifestBlock extends Omit<BlockStatus, 'incarnation'> {
  readonly name: string;
}

/** Blocks that are committed at one store VM, and whether it can be used. */
export class StoreCatalog {
  private readonly byKey = new Map<BlockKey, CatalogEntry>();

  private readonly order: CatalogEntry[] = [];

  private readonly places = new Map<CatalogEntry, number>();

  private failures = 0;

  private retryAtMs = 0;

  private reservedBytes = 0;

  private storedBytes = 0;

  constructor(public view: StoreView) {}

  get size(): number {
    return this.order.length;
  }

  /** Bytes that are stored or reserved for exports under way. */
  get usedBytes(): number {
    return this.storedBytes + this.reservedBytes;
  }

  /** Whether imports and exports may use the store VM now. */
  get usable(): boolean {
    return this.view.eligible && Date.now() >= this.retryAtMs;
  }

  get(key: BlockKey): CatalogEntry | undefined {
    return this.byKey.get(key);
  }

  list(): readonly CatalogEntry[] {
    return this.order;
  }

  add(entry: CatalogEntry): void {
    this.remove(entry.block.key);
    this.byKey.set(entry.block.key, entry);
    this.places.set(entry, this.order.length);
    this.order.push(entry);
    this.storedBytes += entry.block.length;
  }

  remove(key: BlockKey): CatalogEntry | undefined {
    const entry = this.byKey.get(key);
    if (!entry) return undefined;
    this.byKey.delete(key);
    const place = this.places.get(entry)!;
    this.places.delete(entry);
    const last = this.order.pop()!;
    if (last !== entry) {
      this.order[place] = last;
      this.places.set(last, place);
    }
    this.storedBytes -= entry.block.length;
    return entry;
  }

  /** Tells whether bytes fit without dropping a block. */
  hasRoom(bytes: number): boolean {
    return this.usedBytes + bytes <= this.view.capacityBytes;
  }

  reserve(bytes: number): void {
    this.reservedBytes += bytes;
  }

  release(bytes: number): void {
    this.reservedBytes = Math.max(0, this.reservedBytes - bytes);
  }

  /** Finds the last stored block of the prompt that an entry belongs to. */
  findTail(entry: CatalogEntry): CatalogEntry {
    let tail = entry;
    for (;;) {
      const following = tail.next === undefined ? undefined : this.byKey.get(tail.next);
      if (!following || following.position <= tail.position) break;
      tail = following;
    }
    return tail;
  }

  /** Finds the entry of least value among a sample. */
  findLeastValuable(
    random: RandomGenerator,
    computeValue: (entry: CatalogEntry) => number,
  ): { readonly entry: CatalogEntry; readonly value: number } | undefined {
    let least: { entry: CatalogEntry; value: number } | undefined;
    const samples = Math.min(DROP_SAMPLES, this.order.length);
    for (let i = 0; i < samples; i += 1) {
      const entry = this.order[uniformInt(random, 0, this.order.length - 1)]!;
      const value = computeValue(entry);
      const isLess =
        !least ||
        value < least.value ||
        (value === least.value && entry.position > least.entry.position);
      if (isLess) least = { entry, value };
    }
    return least;
  }

  /** Notes how a call to the store VM ended; failures in a row pause its use. */
  noteOutcome(succeeded: boolean): void {
    this.failures = succeeded ? 0 : this.failures + 1;
    if (this.failures >= STORE_FAILURE_LIMIT) this.retryAtMs = Date.now() + STORE_RETRY_MS;
  }

  /**
   * Compares the catalog with a store VM's manifest. After a restart the manifest may be an old
   * one, so an entry stays only where length, checksum and generation are those committed.
   * Blocks that other VMs stored are taken in; every read is verified all the same.
   */
  applyManifest(incarnation: string, blocks: readonly ManifestBlock[]): void {
    const listed = new Map(blocks.map((block) => [block.name, block]));
    for (const entry of [...this.order]) {
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
    blocks.forEach((block) => this.acceptListed(block, incarnation));
  }

  private acceptListed(
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
      lastUsedMs: Date.now(),
    });
  }
}
