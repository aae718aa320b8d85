import { randomUUID } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { FaultSet } from '../http/index.js';
import { AttemptStore } from './attemptStore.js';
import { BatchScheduler } from './batchScheduler.js';
import { BlockCache } from './blockCache.js';
import { generateBlockContent } from './blockContent.js';
import { CacheEventLog } from './cacheEventLog.js';
import { defaultEngineFaults } from './engineFaults.js';
import type { EngineFaults } from './engineFaults.js';
import type { EngineSettings } from './engineSettings.js';

/** State of the engine in its load report. */
export type EngineActivity = 'serving' | 'loading' | 'leaving';

/** Ground-truth counters for tests. */
export interface EngineCounts {
  completions: number;
  promptTokens: number;
  cachedTokens: number;
  falls: number;
  ordersAccepted: number;
  ordersRefused: number;
  /** Reads of a cached block whose content did not match its key. */
  wrongBlockReads: number;
  /** Number of executions by the caller's reference. */
  readonly runs: Map<string, number>;
}

/** State of one engine, shared by the handlers of its routes. */
export class EngineState {
  bootId: string = randomUUID();

  model: string;

  weightVersion: string;

  readonly adapters: Set<string>;

  role: string;

  loading = false;

  /** Wall-clock time in milliseconds until which requests are dropped after a restart. */
  unavailableUntilMs = 0;

  completedSinceBoot = 0;

  scheduler: BatchScheduler;

  readonly attempts = new AttemptStore();

  readonly events: CacheEventLog;

  readonly cache: BlockCache;

  readonly faults: FaultSet<EngineFaults>;

  readonly counts: EngineCounts = {
    completions: 0,
    promptTokens: 0,
    cachedTokens: 0,
    falls: 0,
    ordersAccepted: 0,
    ordersRefused: 0,
    wrongBlockReads: 0,
    runs: new Map(),
  };

  constructor(readonly settings: EngineSettings) {
    this.model = settings.model;
    this.weightVersion = settings.weightVersion;
    this.adapters = new Set(settings.adapters);
    this.role = settings.role;
    this.scheduler = new BatchScheduler(settings.maxConcurrent);
    this.faults = new FaultSet(defaultEngineFaults, (faults) => this.applyFaults(faults));
    const generator = xoroshiro128plus(settings.seed);
    this.events = new CacheEventLog(
      () => this.faults.current,
      () => uniformFloat64(generator),
    );
    const createContent = (key: string) => generateBlockContent(key, settings.blockBytes);
    this.cache = new BlockCache(settings.cacheCapacityBlocks, createContent, this.events);
  }

  get cold(): boolean {
    return this.completedSinceBoot < this.settings.coldCompletions;
  }

  get activity(): EngineActivity {
    if (this.faults.current.leaving) return 'leaving';
    return this.loading ? 'loading' : 'serving';
  }

  /** Switches the weights and clears the cache, which belongs to the old ones. */
  setModel(model: string, version: string): void {
    if (model === this.model && version === this.weightVersion) return;
    this.model = model;
    this.weightVersion = version;
    this.cache.clear();
  }

  /** Restarts the engine cold under a new boot id and aborts every request. */
  restart(downMs: number): void {
    this.unavailableUntilMs = Date.now() + downMs;
    this.bootId = randomUUID();
    this.completedSinceBoot = 0;
    this.loading = false;
    this.scheduler = new BatchScheduler(this.settings.maxConcurrent);
    this.attempts.clear();
    this.cache.clear();
    this.events.reset();
  }

  private applyFaults(faults: EngineFaults): void {
    if (faults.restart) {
      this.faults.set('restart', false);
      this.restart(this.settings.restartMs);
    }
    if (faults.silentSwap !== '') {
      this.faults.set('silentSwap', '');
      this.weightVersion = faults.silentSwap;
    }
  }
}
