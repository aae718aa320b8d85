import { BlockReclaimer } from '@goldcrestscale/core';
import type { ExportTask, ExportOutcome, TieringPlanner, UpstreamId } from '@goldcrestscale/core';
import { BlockTransferError } from './blockTransferClient.js';
import type { BlockTransferClient } from './blockTransferClient.js';
import { EXPORT_TIMEOUT_MS } from './constants.js';

/** Options of a block exporter. */
export interface BlockExporterOptions {
  readonly planner: TieringPlanner;
  readonly client: BlockTransferClient;
  /** Returns the address of an engine or store VM if it is usable now. */
  readonly findUsableAddress: (upstreamId: UpstreamId) => string | undefined;
}

const NOT_FOUND = 404;
const GENERATIONS_PER_MS = 1000;

/** Executes the planner's exports, and frees the blocks that they evict. */
export class BlockExporter {
  private readonly reclaimer: BlockReclaimer;

  private lastGeneration = 0;

  constructor(private readonly options: BlockExporterOptions) {
    const { client, findUsableAddress } = options;
    this.reclaimer = new BlockReclaimer({
      markFreed: async (block, signal) => {
        const store = findUsableAddress(block.storeId);
        if (store !== undefined) await client.markFreed(store, block, signal);
      },
      delete: async (block, signal) => {
        const store = findUsableAddress(block.storeId);
        if (store !== undefined) await client.delete(store, block, signal);
      },
    });
  }

  /** Runs all exports that the planner permits now, and deletes blocks freed long enough ago. */
  async run(signal: AbortSignal): Promise<void> {
    const { planner } = this.options;
    const exports: Promise<void>[] = [];
    for (let task = planner.startNextExport(); task; task = planner.startNextExport()) {
      exports.push(this.exportBlock(task, signal));
    }
    await Promise.all([...exports, this.reclaimer.sweep(signal)]);
  }

  private async exportBlock(task: ExportTask, signal: AbortSignal): Promise<void> {
    const timeoutSignal = AbortSignal.any([signal, AbortSignal.timeout(EXPORT_TIMEOUT_MS)]);
    const outcome = await this.transferBlock(task, timeoutSignal).catch(
      (error: unknown): ExportOutcome => {
        const isNotHeld = error instanceof BlockTransferError && error.status === NOT_FOUND;
        return isNotHeld ? { kind: 'not-held' } : { kind: 'store-failed' };
      },
    );
    this.options.planner.finishExport(task, outcome);
  }

  private async transferBlock(task: ExportTask, signal: AbortSignal): Promise<ExportOutcome> {
    const { client, findUsableAddress } = this.options;
    const { candidate, storeId, evictedBlocks } = task;
    await Promise.allSettled(evictedBlocks.map((block) => this.reclaimer.release(block, signal)));
    const engine = findUsableAddress(candidate.upstreamId);
    const store = findUsableAddress(storeId);
    if (engine === undefined || store === undefined) return { kind: 'not-held' };
    const generation = this.nextGeneration();
    const { key } = candidate;
    const name = `${key}.${generation}`;
    const exported = await client.export(engine, store, { key, name }, signal);
    if (!exported) return { kind: 'not-held' };
    const { length, checksum } = exported;
    const fingerprint = { length, checksum, generation };
    const incarnation = await client.commitBlock(store, name, fingerprint, signal);
    return { kind: 'stored', block: { key, storeId, name, ...fingerprint, incarnation } };
  }

  /** Returns a generation that is unique among all names of a block. */
  private nextGeneration(): number {
    this.lastGeneration = Math.max(this.lastGeneration + 1, Date.now() * GENERATIONS_PER_MS);
    return this.lastGeneration;
  }
}
