import type { BlockKey, BootId, CacheEvent, PromptBlock, UpstreamId } from '@goldcrestscale/core';
import { toId } from '@goldcrestscale/core';
import type { EventQueue } from './eventQueue.js';
import {
  COLD_COMPLETIONS,
  DECODE_TOKENS_PER_SECOND,
  ENGINE_CACHE_BLOCKS,
  MAX_CONCURRENT,
  PREFILL_OVERHEAD_MS,
  PREFILL_TOKENS_PER_SECOND,
} from './sizes.js';

const MS_PER_S = 1000;

/** A request at an engine. */
export interface EngineJob {
  readonly blocks: readonly PromptBlock[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Called with the cached tokens once the first token is there. */
  readonly onFirstToken: (cachedTokens: number) => void;
  readonly onFinish: () => void;
}

/** Load of an engine at one moment. */
export interface EngineLoad {
  readonly sampledAtMs: number;
  readonly running: number;
  readonly waiting: number;
  readonly waitingPromptTokens: number;
  readonly cold: boolean;
  readonly bootId: BootId;
}

/**
 * Small fake of a model engine: slots, prefill of one prompt after another, decoding beside it,
 * and a prefix cache of limited size that drops the least recently used block.
 */
export class EngineModel {
  readonly events: CacheEvent[] = [];

  private readonly cache = new Map<BlockKey, true>();

  private readonly waiting: EngineJob[] = [];

  private prefilling: EngineJob | undefined;

  private prefillEndsAtMs = 0;

  private inSlots = 0;

  private completed = COLD_COMPLETIONS;

  private boot = 1;

  constructor(
    readonly upstreamId: UpstreamId,
    readonly zone: string,
    private readonly queue: EventQueue,
  ) {}

  get bootId(): BootId {
    return toId<BootId>(`${this.upstreamId}-${this.boot}`);
  }

  get cold(): boolean {
    return this.completed < COLD_COMPLETIONS;
  }

  get inFlight(): number {
    return this.inSlots + this.waiting.length;
  }

  has(key: BlockKey): boolean {
    return this.cache.has(key);
  }

  /** Restarts cold and empty; the caller lets running requests finish first. */
  reset(): void {
    this.boot += 1;
    this.completed = 0;
    this.cache.clear();
    this.events.length = 0;
  }

  accept(job: EngineJob): void {
    this.waiting.push(job);
    this.startNext();
  }

  /** Puts blocks into the cache, as after a prefill or a committed import. */
  store(blocks: readonly PromptBlock[]): void {
    const added = blocks.filter(({ key }) => !this.cache.has(key)).map(({ key }) => key);
    // From the end, so that early blocks, which others build on, are dropped last.
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
    const running = Math.max(0, this.prefillEndsAtMs - nowMs);
    const queued = this.waiting.reduce((sum, job) => sum + this.countUncached(job), 0);
    return {
      sampledAtMs: nowMs,
      running: this.inSlots,
      waiting: this.waiting.length,
      waitingPromptTokens: queued + (running * PREFILL_TOKENS_PER_SECOND) / MS_PER_S,
      cold: this.cold,
      bootId: this.bootId,
    };
  }

  private emit(type: CacheEvent['type'], keys: readonly BlockKey[]): void {
    if (keys.length > 0) this.events.push({ seq: this.events.length, type, keys });
  }

  private countCached(job: EngineJob): number {
    let tokens = 0;
    for (const block of job.blocks) {
      if (!this.cache.has(block.key)) break;
      tokens += block.tokens;
    }
    return tokens;
  }

  private countUncached(job: EngineJob): number {
    return job.promptTokens - this.countCached(job);
  }

  private startNext(): void {
    if (this.prefilling || this.inSlots >= MAX_CONCURRENT) return;
    const job = this.waiting.shift();
    if (!job) return;
    this.inSlots += 1;
    this.prefilling = job;
    const cached = this.countCached(job);
    const prefillMs =
      PREFILL_OVERHEAD_MS + ((job.promptTokens - cached) / PREFILL_TOKENS_PER_SECOND) * MS_PER_S;
    this.prefillEndsAtMs = Date.now() + prefillMs;
    this.queue.schedule(prefillMs, () => this.finishPrefill(job, cached));
  }

  private finishPrefill(job: EngineJob, cached: number): void {
    this.prefilling = undefined;
    this.store(job.blocks);
    job.onFirstToken(cached);
    const decodeMs = (job.outputTokens / DECODE_TOKENS_PER_SECOND) * MS_PER_S;
    this.queue.schedule(decodeMs, () => {
      this.inSlots -= 1;
      this.completed += 1;
      job.onFinish();
      this.startNext();
    });
    this.startNext();
  }
}
