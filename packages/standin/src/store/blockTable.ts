import { createHash } from 'node:crypto';

const FREED_FILL_BYTE = 0xdd;
const SNAPSHOT_INTERVAL_MS = 500;
const MAX_SNAPSHOTS = 8;

/** State of a stored block. */
export type BlockState = 'temporary' | 'committed' | 'freed';

/** Storage tier of a block. */
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

/** Capacities of the two tiers. */
export interface TierCapacities {
  readonly memoryBytes: number;
  readonly diskBytes: number;
}

/** Blocks of a store VM in two tiers; when memory is full, its oldest blocks move to disk. */
export class BlockTable {
  private blocks = new Map<string, StoredBlock>();

  private snapshots: Map<string, StoredBlock>[] = [];

  private lastSnapshotAtMs = 0;

  constructor(private readonly capacities: TierCapacities) {}

  get(name: string): StoredBlock | undefined {
    return this.blocks.get(name);
  }

  list(): StoredBlock[] {
    return [...this.blocks.values()];
  }

  computeUsedBytes(tier: BlockTier): number {
    return this.list()
      .filter((block) => block.tier === tier)
      .reduce((sum, block) => sum + block.content.length, 0);
  }

  /** Stores a temporary block. @returns whether there was capacity for it */
  put(name: string, content: Buffer): boolean {
    this.delete(name);
    const tier = this.reserveSpace(content.length);
    if (!tier) return false;
    const checksum = createHash('sha256').update(content).digest('hex');
    this.blocks.set(name, { name, content, checksum, state: 'temporary', tier, generation: 0 });
    return true;
  }

  /** Updates the state or generation of a block. */
  update(name: string, change: Partial<Pick<StoredBlock, 'state' | 'generation'>>): void {
    const block = this.blocks.get(name);
    if (!block) return;
    this.blocks.set(name, { ...block, ...change });
    this.saveSnapshot();
  }

  /** Deletes a block and overwrites its content, as if the memory had been reused. */
  delete(name: string): boolean {
    const block = this.blocks.get(name);
    if (!block) return false;
    this.blocks.delete(name);
    this.saveSnapshot();
    block.content.fill(FREED_FILL_BYTE);
    return true;
  }

  /** Drops the memory tier, as a restart does. */
  dropMemory(): void {
    this.list()
      .filter((block) => block.tier === 'memory')
      .forEach((block) => this.blocks.delete(block.name));
  }

  /** Restores the block list of the oldest snapshot; the block contents are not restored. */
  restoreOldestSnapshot(): void {
    const oldest = this.snapshots[0];
    if (oldest) this.blocks = new Map(oldest);
  }

  private saveSnapshot(): void {
    const nowMs = Date.now();
    if (nowMs - this.lastSnapshotAtMs < SNAPSHOT_INTERVAL_MS) return;
    this.lastSnapshotAtMs = nowMs;
    this.snapshots = [...this.snapshots, new Map(this.blocks)].slice(-MAX_SNAPSHOTS);
  }

  /** Moves the oldest memory blocks to disk as needed. @returns the tier that has space, if any */
  private reserveSpace(bytes: number): BlockTier | undefined {
    const candidates = this.list().filter((block) => block.tier === 'memory');
    while (
      this.computeUsedBytes('memory') + bytes > this.capacities.memoryBytes &&
      candidates.length > 0
    ) {
      const oldestBlock = candidates.shift();
      if (!oldestBlock || !this.hasDiskSpace(oldestBlock.content.length)) break;
      this.blocks.set(oldestBlock.name, { ...oldestBlock, tier: 'disk' });
    }
    if (this.computeUsedBytes('memory') + bytes <= this.capacities.memoryBytes) return 'memory';
    return this.hasDiskSpace(bytes) ? 'disk' : undefined;
  }

  private hasDiskSpace(bytes: number): boolean {
    return this.computeUsedBytes('disk') + bytes <= this.capacities.diskBytes;
  }
}
