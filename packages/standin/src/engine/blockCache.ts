import type { KeyedBlock } from './completionRequest.js';

/** Listener for changes of the cache. */
export interface BlockCacheListener {
  handleStored(keys: readonly string[]): void;
  handleEvicted(keys: readonly string[]): void;
  handleCleared(): void;
}

/** Prefix cache of limited size with LRU eviction. */
export class BlockCache {
  /** Imported content by block key, least recently used first; undefined for computed blocks. */
  private readonly blocks = new Map<string, Buffer | undefined>();

  constructor(
    private readonly capacityBlocks: number,
    private readonly createContent: (key: string) => Buffer,
    private readonly listener: BlockCacheListener,
  ) {}

  get size(): number {
    return this.blocks.size;
  }

  /** Gets the content of a block without marking it as used. */
  get(key: string): Buffer | undefined {
    return this.blocks.has(key) ? (this.blocks.get(key) ?? this.createContent(key)) : undefined;
  }

  /** Gets the content that a block was imported with; undefined for a computed block. */
  getImported(key: string): Buffer | undefined {
    return this.blocks.get(key);
  }

  /** Finds the longest cached prefix of a chain and marks its blocks as used. */
  matchPrefix(chain: readonly KeyedBlock[]): KeyedBlock[] {
    const firstMissing = chain.findIndex((block) => !this.blocks.has(block.key));
    const cached = firstMissing < 0 ? [...chain] : chain.slice(0, firstMissing);
    cached.forEach((block) => this.touch(block.key));
    return cached;
  }

  /** Stores the blocks of a computed chain. */
  add(chain: readonly KeyedBlock[]): void {
    chain.forEach((block) => {
      if (this.blocks.has(block.key)) this.touch(block.key);
      else this.put(block.key);
    });
  }

  /** Stores one block; `content` is given for an imported block only. */
  put(key: string, content?: Buffer): void {
    this.blocks.delete(key);
    this.blocks.set(key, content);
    this.listener.handleStored([key]);
    this.evict();
  }

  clear(): void {
    this.blocks.clear();
    this.listener.handleCleared();
  }

  private touch(key: string): void {
    const content = this.blocks.get(key);
    this.blocks.delete(key);
    this.blocks.set(key, content);
  }

  private evict(): void {
    const excess = Math.max(this.blocks.size - this.capacityBlocks, 0);
    const evicted = [...this.blocks.keys()].slice(0, excess);
    evicted.forEach((key) => this.blocks.delete(key));
    if (evicted.length > 0) this.listener.handleEvicted(evicted);
  }
}
