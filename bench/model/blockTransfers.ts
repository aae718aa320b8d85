import { toId } from '@goldcrestscale/core';
import type {
  BlockImport,
  ExportTask,
  PromptBlock,
  StoredBlock,
  TieringPlanner,
  UpstreamId,
} from '@goldcrestscale/core';
import type { EngineModel } from './engineModel.js';
import type { StoreModel } from './storeModel.js';

export interface BlockTransferOptions {
  readonly planner: TieringPlanner;
  readonly engines: ReadonlyMap<UpstreamId, EngineModel>;
  readonly stores: ReadonlyMap<UpstreamId, StoreModel>;
}

const groupByStore = (imports: readonly BlockImport[]): Map<UpstreamId, BlockImport[]> => {
  const groups = new Map<UpstreamId, BlockImport[]>();
  for (const one of imports) {
    const group = groups.get(one.storeId) ?? [];
    groups.set(one.storeId, [...group, one]);
  }
  return groups;
};

/** Executes imports and exports over the simulated links, as the daemon's controller does. */
export class BlockTransfers {
  private generation = 0;

  /** Callbacks waiting for running imports, by engine and block. */
  private readonly runningImports = new Map<string, (() => void)[]>();

  constructor(private readonly options: BlockTransferOptions) {}

  /** Imports blocks to an engine; joins imports of the same block that are already running. */
  importBlocks(
    engine: EngineModel,
    imports: readonly BlockImport[],
    blocks: readonly PromptBlock[],
    onFinish: () => void,
  ): void {
    const tokensByKey = new Map(blocks.map((block) => [block.key, block.tokens]));
    const missing = imports.filter(({ key }) => !engine.has(key));
    const newImports = missing.filter(
      ({ key }) => !this.runningImports.has(`${engine.upstreamId}/${key}`),
    );
    const joinedImports = missing.filter((one) => !newImports.includes(one));
    const groups = groupByStore(newImports);
    let pendingCount = groups.size + joinedImports.length;
    if (pendingCount === 0) onFinish();
    const finishOne = (): void => {
      pendingCount -= 1;
      if (pendingCount === 0) onFinish();
    };
    joinedImports.forEach(({ key }) =>
      this.runningImports.get(`${engine.upstreamId}/${key}`)!.push(finishOne),
    );
    groups.forEach((group, storeId) => {
      group.forEach(({ key }) => this.runningImports.set(`${engine.upstreamId}/${key}`, []));
      this.transferGroup(engine, storeId, group, tokensByKey, finishOne);
    });
  }

  /** Starts all exports that the links can take now. */
  startExports(): void {
    const { planner } = this.options;
    for (let task = planner.startNextExport(); task; task = planner.startNextExport()) {
      this.startExport(task);
    }
  }

  private transferGroup(
    engine: EngineModel,
    storeId: UpstreamId,
    group: readonly BlockImport[],
    tokensByKey: ReadonlyMap<string, number>,
    onFinish: () => void,
  ): void {
    const { planner, stores } = this.options;
    const store = stores.get(storeId)!;
    const bytes = group.reduce((sum, one) => sum + one.bytes, 0);
    const transfer = planner.beginImport(storeId, bytes);
    store.link.transfer(bytes, () => {
      const missingKeys = group.filter(({ name }) => !store.has(name)).map(({ key }) => key);
      if (transfer) planner.finishImport(storeId, transfer, true, missingKeys);
      engine.storeBlocks(
        group
          .filter(({ key }) => !missingKeys.includes(key))
          .map(({ key }) => ({ key, tokens: tokensByKey.get(key)! })),
      );
      group.forEach(({ key }) => {
        const importKey = `${engine.upstreamId}/${key}`;
        const waitingCallbacks = this.runningImports.get(importKey) ?? [];
        this.runningImports.delete(importKey);
        waitingCallbacks.forEach((callback) => callback());
      });
      onFinish();
    });
  }

  private startExport(task: ExportTask): void {
    const { planner, engines, stores } = this.options;
    const { candidate, storeId, evictedBlocks: drops } = task;
    const store = stores.get(storeId)!;
    drops.forEach(({ name }) => store.delete(name));
    if (!engines.get(candidate.upstreamId)!.has(candidate.key)) {
      planner.finishExport(task, { kind: 'not-held' });
      return;
    }
    store.link.transfer(candidate.bytes, () => {
      this.generation += 1;
      const block: StoredBlock = {
        key: candidate.key,
        storeId,
        name: toId(`${candidate.key}.${this.generation}`),
        length: candidate.bytes,
        checksum: candidate.key,
        generation: this.generation,
        incarnation: store.getIncarnation(),
      };
      store.put(block);
      planner.finishExport(task, { kind: 'stored', block });
    });
  }
}
