import { BlockReclaimer } from '@goldcrestscale/core';
import type { ExportOrder, ExportOutcome, TieringPlanner, UpstreamId } from '@goldcrestscale/core';
import { BlockCallError } from './blockCalls.js';
import type { BlockCalls } from './blockCalls.js';
import { EXPORT_TIMEOUT_MS } from './constants.js';

/** What exporting needs. */
export interface BlockExporterOptions {
  readonly planner: TieringPlanner;
  readonly calls: BlockCalls;
  /** Gives the address of an engine or store VM that may be used now. */
  readonly findAddress: (upstreamId: UpstreamId) => string | undefined;
}

const NOT_FOUND = 404;
const GENERATIONS_PER_MS = 1000;

/** Carries out the planner's exports and frees what it drops. */
export class BlockExporter {
  private readonly reclaimer: BlockReclaimer;

  private lastGeneration = 0;

  constructor(private readonly options: BlockExporterOptions) {
    const { calls, findAddress } = options;
    this.reclaimer = new BlockReclaimer({
      markFreed: async (block, signal) => {
        const store = findAddress(block.storeId);
        if (store !== undefined) await calls.markFreed(store, block, signal);
      },
      delete: async (block, signal) => {
        const store = findAddress(block.storeId);
        if (store !== undefined) await calls.delete(store, block, signal);
      },
    });
  }

  /** Starts every export that the links have room for, and deletes what was freed long enough ago. */
  async run(signal: AbortSignal): Promise<void> {
    const { planner } = this.options;
    const running: Promise<void>[] = [];
    for (let order = planner.takeNextExport(); order; order = planner.takeNextExport()) {
      running.push(this.export(order, signal));
    }
    await Promise.all([...running, this.reclaimer.sweep(signal)]);
  }

  private async export(order: ExportOrder, signal: AbortSignal): Promise<void> {
    const limited = AbortSignal.any([signal, AbortSignal.timeout(EXPORT_TIMEOUT_MS)]);
    const outcome = await this.transfer(order, limited).catch((error: unknown): ExportOutcome => {
      const isMissing = error instanceof BlockCallError && error.status === NOT_FOUND;
      return isMissing ? { kind: 'not-held' } : { kind: 'store-failed' };
    });
    this.options.planner.finishExport(order, outcome);
  }

  private async transfer(order: ExportOrder, signal: AbortSignal): Promise<ExportOutcome> {
    const { calls, findAddress } = this.options;
    const { candidate, storeId, drops } = order;
    await Promise.allSettled(drops.map((block) => this.reclaimer.release(block, signal)));
    const engine = findAddress(candidate.upstreamId);
    const store = findAddress(storeId);
    if (engine === undefined || store === undefined) return { kind: 'not-held' };
    const generation = this.nextGeneration();
    const { key } = candidate;
    const name = `${key}.${generation}`;
    const exported = await calls.export(engine, store, { key, name }, signal);
    if (!exported) return { kind: 'not-held' };
    const { length, checksum } = exported;
    const seal = { length, checksum, generation };
    const incarnation = await calls.commitBlock(store, name, seal, signal);
    return { kind: 'stored', block: { key, storeId, name, ...seal, incarnation } };
  }

  /** Gives a generation that no other name of the same block has had. */
  private nextGeneration(): number {
    this.lastGeneration = Math.max(this.lastGeneration + 1, Date.now() * GENERATIONS_PER_MS);
    return this.lastGeneration;
  }
}
