import type { KeyedBlock } from './completionRequest.js';

/** Changes of the cache, told to the event log. */
export interface BlockCacheListener {
  handleStored(keys: readonly string[]): void;
  handleEvicted(keys: readonly string[]): void;
  handleCleared(): void;
}

/** Prefix cache of limited size; drops the least recently used block first. */
export class BlockCache {
  /** Imported content of each block by key, least recently used first; none for a computed one. */
  private readonly blocks = new Map<string, Buffer | undefined>();

  constructor(
    private readonly capacity: number,
    private readonly createContent: (key: string) => Buffer,
    private readonly listener: BlockCacheListener,
  ) {}

  get size(): number {
    return this.blocks.size;
  }

  /** Gives the content of a block, without touching it. */
  get(key: string): Buffer | undefined {
    return this.blocks.has(key) ? (this.blocks.get(key) ?? this.createContent(key)) : undefined;
  }

  /** Gives the content that a block was imported with; undefined for a computed one. */
  getImported(key: string): Buffer | undefined {
    return this.blocks.get(key);
  }

  /** Finds the longest held chain from the beginning and marks it as used. */
  match(chain: readonly KeyedBlock[]): KeyedBlock[] {
    const missing = chain.findIndex((block) => !this.blocks.has(block.key));
    const held = missing < 0 ? [...chain] : chain.slice(0, missing);
    held.forEach((block) => this.touch(block.key));
    return held;
  }

  /** Stores the computed blocks of a chain. */
  add(chain: readonly KeyedBlock[]): void {
    chain.forEach((block) => {
      if (this.blocks.has(block.key)) this.touch(block.key);
      else this.put(block.key);
    });
  }

  /** Puts one block, as computed or as imported. */
  put(key: string, content?: Buffer): void {
    this.blocks.delete(key);
    this.blocks.set(key, content);
    this.listener.handleStored([key]);
    this.evict();
  }

  /** Drops every block. */
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
    const surplus = Math.max(this.blocks.size - this.capacity, 0);
    const evicted = [...this.blocks.keys()].slice(0, surplus);
    evicted.forEach((key) => this.blocks.delete(key));
    if (evicted.length > 0) this.listener.handleEvicted(evicted);
  }
}
