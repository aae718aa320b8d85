import { createHash } from 'node:crypto';

const FREED_FILL = 0xdd;
const SNAPSHOT_PERIOD_MS = 500;
const MAX_SNAPSHOTS = 8;

/** State of a stored block. */
export type BlockState = 'temporary' | 'committed' | 'freed';

/** Where a block is kept. */
export type BlockTier = 'memory' | 'disk';

/** One stored block. */
export interface StoredBlock {
  readonly name: string;
  readonly content: Buffer;
  readonly checksum: string;
  readonly state: BlockState;
  readonly tier: BlockTier;
  readonly generation: number;
}

/** Sizes of the two tiers. */
export interface TierCapacities {
  readonly memoryBytes: number;
  readonly diskBytes: number;
}

/** Blocks of a store VM in two tiers; the memory tier moves its oldest blocks to disk. */
export class BlockTable {
  private blocks = new Map<string, StoredBlock>();

  private snapshots: Map<string, StoredBlock>[] = [];

  private snapshotAtMs = 0;

  constructor(private readonly capacities: TierCapacities) {}

  get(name: string): StoredBlock | undefined {
    return this.blocks.get(name);
  }

  list(): StoredBlock[] {
    return [...this.blocks.values()];
  }

  /** Sums the bytes that a tier holds. */
  sumBytes(tier: BlockTier): number {
    return this.list()
      .filter((block) => block.tier === tier)
      .reduce((sum, block) => sum + block.content.length, 0);
  }

  /** Stores a temporary block; tells whether there was room. */
  put(name: string, content: Buffer): boolean {
    this.delete(name);
    const tier = this.reserve(content.length);
    if (!tier) return false;
    const checksum = createHash('sha256').update(content).digest('hex');
    this.blocks.set(name, { name, content, checksum, state: 'temporary', tier, generation: 0 });
    return true;
  }

  /** Changes the facts of a block. */
  update(name: string, change: Partial<Pick<StoredBlock, 'state' | 'generation'>>): void {
    const block = this.blocks.get(name);
    if (!block) return;
    this.blocks.set(name, { ...block, ...change });
    this.save();
  }

  /** Deletes a block; its memory is used for something else at once. */
  delete(name: string): boolean {
    const block = this.blocks.get(name);
    if (!block) return false;
    this.blocks.delete(name);
    this.save();
    block.content.fill(FREED_FILL);
    return true;
  }

  /** Loses the memory tier, as a restart does. */
  dropMemory(): void {
    this.list()
      .filter((block) => block.tier === 'memory')
      .forEach((block) => this.blocks.delete(block.name));
  }

  /** Goes back to the list of blocks of an earlier moment; contents stay as they are now. */
  replaceByOldest(): void {
    const oldest = this.snapshots[0];
    if (oldest) this.blocks = new Map(oldest);
  }

  private save(): void {
    const now = Date.now();
    if (now - this.snapshotAtMs < SNAPSHOT_PERIOD_MS) return;
    this.snapshotAtMs = now;
    this.snapshots = [...this.snapshots, new Map(this.blocks)].slice(-MAX_SNAPSHOTS);
  }

  private reserve(bytes: number): BlockTier | undefined {
    const oldest = this.list().filter((block) => block.tier === 'memory');
    while (this.sumBytes('memory') + bytes > this.capacities.memoryBytes && oldest.length > 0) {
      const moved = oldest.shift();
      if (!moved || !this.hasDiskRoom(moved.content.length)) break;
      this.blocks.set(moved.name, { ...moved, tier: 'disk' });
    }
    if (this.sumBytes('memory') + bytes <= this.capacities.memoryBytes) return 'memory';
    return this.hasDiskRoom(bytes) ? 'disk' : undefined;
  }

  private hasDiskRoom(bytes: number): boolean {
    return this.sumBytes('disk') + bytes <= this.capacities.diskBytes;
  }
}
