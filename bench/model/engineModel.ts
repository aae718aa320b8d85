import type { BlockKey, BootId, CacheEvent, PromptBlock, UpstreamId } from '@goldcrestscale/core';
import { toId } from '@goldcrestscale/core';
import type { EventQueue } from './eventQueue.js';
import {
  WARM_UP_COMPLETIONS,
  DECODE_TOKENS_PER_SECOND,
  ENGINE_CACHE_BLOCKS,
  MAX_CONCURRENT_REQUESTS,
  PREFILL_OVERHEAD_MS,
  PREFILL_TOKENS_PER_SECOND,
} from './constants.js';

const MS_PER_S = 1000;

/** Request that runs on an engine. */
export interface EngineJob {
  readonly blocks: readonly PromptBlock[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Called with the number of cached prompt tokens when the first token is generated. */
  readonly onFirstToken: (cachedTokens: number) => void;
  readonly onFinish: () => void;
}

/** Load sample of an engine. */
export interface EngineLoad {
  readonly sampledAtMs: number;
  readonly running: number;
  readonly waiting: number;
  readonly waitingPromptTokens: number;
  readonly cold: boolean;
  readonly bootId: BootId;
}

/**
 * Simulated inference engine: limited concurrency, prefill of one prompt at a time, concurrent
 * decoding, and a prefix cache of limited size with LRU eviction.
 */
export class EngineModel {
  readonly events: CacheEvent[] = [];

  private readonly cache = new Map<BlockKey, true>();

  private readonly waiting: EngineJob[] = [];

  private prefilling: EngineJob | undefined;

  private prefillEndsAtMs = 0;

  private runningJobs = 0;

  private completed = WARM_UP_COMPLETIONS;

  private bootCount = 1;

  constructor(
    readonly upstreamId: UpstreamId,
    readonly zone: string,
    private readonly queue: EventQueue,
  ) {}

  get bootId(): BootId {
    return toId<BootId>(`${this.upstreamId}-${this.bootCount}`);
  }

  get cold(): boolean {
    return this.completed < WARM_UP_COMPLETIONS;
  }

  get inFlight(): number {
    return this.runningJobs + this.waiting.length;
  }

  has(key: BlockKey): boolean {
    return this.cache.has(key);
  }

  /** Restarts the engine cold, with an empty cache; running requests still finish. */
  restart(): void {
    this.bootCount += 1;
    this.completed = 0;
    this.cache.clear();
    this.events.length = 0;
  }

  accept(job: EngineJob): void {
    this.waiting.push(job);
    this.startNext();
  }

  /** Adds blocks to the cache, after a prefill or an import. */
  storeBlocks(blocks: readonly PromptBlock[]): void {
    const added = blocks.filter(({ key }) => !this.cache.has(key)).map(({ key }) => key);
    // Insert from the end, so that early blocks, on which later ones depend, are evicted last.
    for (let i = blocks.length - 1; i >= 0; i -= 1) {
      const { key } = blocks[i]!;
      this.cache.delete(key);
      this.cache.set(key, true);
    }
    const evicted: BlockKey[] = [];
    while (this.cache.size > ENGINE_CACHE_BLOCKS) {
      const oldest = this.cache.keys().next().value!;
      this.cache.delete(oldest);
      evicted.push(oldest);
    }
    this.emit('stored', added);
    this.emit('evicted', evicted);
  }

  sampleLoad(): EngineLoad {
    const nowMs = Date.now();
    const prefillRemainingMs = Math.max(0, this.prefillEndsAtMs - nowMs);
    const queuedPromptTokens = this.waiting.reduce(
      (sum, job) => sum + this.countUncachedTokens(job),
      0,
    );
    return {
      sampledAtMs: nowMs,
      running: this.runningJobs,
      waiting: this.waiting.length,
      waitingPromptTokens:
        queuedPromptTokens + (prefillRemainingMs * PREFILL_TOKENS_PER_SECOND) / MS_PER_S,
      cold: this.cold,
      bootId: this.bootId,
    };
  }

  private emit(type: CacheEvent['type'], keys: readonly BlockKey[]): void {
    if (keys.length > 0) this.events.push({ seq: this.events.length, type, keys });
  }

  private countCachedTokens(job: EngineJob): number {
    let tokens = 0;
    for (const block of job.blocks) {
      if (!this.cache.has(block.key)) break;
      tokens += block.tokens;
    }
    return tokens;
  }

  private countUncachedTokens(job: EngineJob): number {
    return job.promptTokens - this.countCachedTokens(job);
  }

  private startNext(): void {
    if (this.prefilling || this.runningJobs >= MAX_CONCURRENT_REQUESTS) return;
    const job = this.waiting.shift();
    if (!job) return;
    this.runningJobs += 1;
    this.prefilling = job;
    const cachedTokens = this.countCachedTokens(job);
    const prefillMs =
      PREFILL_OVERHEAD_MS +
      ((job.promptTokens - cachedTokens) / PREFILL_TOKENS_PER_SECOND) * MS_PER_S;
    this.prefillEndsAtMs = Date.now() + prefillMs;
    this.queue.schedule(prefillMs, () => this.finishPrefill(job, cachedTokens));
  }

  private finishPrefill(job: EngineJob, cachedTokens: number): void {
    this.prefilling = undefined;
    this.storeBlocks(job.blocks);
    job.onFirstToken(cachedTokens);
    const decodeMs = (job.outputTokens / DECODE_TOKENS_PER_SECOND) * MS_PER_S;
    this.queue.schedule(decodeMs, () => {
      this.runningJobs -= 1;
      this.completed += 1;
      job.onFinish();
      this.startNext();
    });
    this.startNext();
  }
}
