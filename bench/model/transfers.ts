import { toId } from '@goldcrestscale/core';
import type {
  BlockImport,
  ExportOrder,
  PromptBlock,
  StoredBlock,
  TieringPlanner,
  UpstreamId,
} from '@goldcrestscale/core';
import type { EngineModel } from './engine.js';
import type { StoreModel } from './storeModel.js';

/** Sites' means of copying blocks between engines and store VMs. */
export interface TransferParts {
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

/** Carries out imports and exports over the links, as the daemon's controller orders them. */
export class BlockTransfers {
  private generation = 0;

  /** Imports under way by engine and block, with those who wait for them. */
  private readonly importing = new Map<string, (() => void)[]>();

  constructor(private readonly parts: TransferParts) {}

  /** Imports blocks to an engine; an import that is under way already is waited for. */
  importBlocks(
    engine: EngineModel,
    imports: readonly BlockImport[],
    blocks: readonly PromptBlock[],
    finish: () => void,
  ): void {
    const tokens = new Map(blocks.map((block) => [block.key, block.tokens]));
    const wanted = imports.filter(({ key }) => !engine.has(key));
    const fresh = wanted.filter(({ key }) => !this.importing.has(`${engine.upstreamId}/${key}`));
    const shared = wanted.filter((one) => !fresh.includes(one));
    const groups = groupByStore(fresh);
    let left = groups.size + shared.length;
    if (left === 0) finish();
    const finishOne = (): void => {
      left -= 1;
      if (left === 0) finish();
    };
    shared.forEach(({ key }) => this.importing.get(`${engine.upstreamId}/${key}`)!.push(finishOne));
    groups.forEach((group, storeId) => {
      group.forEach(({ key }) => this.importing.set(`${engine.upstreamId}/${key}`, []));
      this.transferGroup(engine, storeId, group, tokens, finishOne);
    });
  }

  /** Starts every export that the links have room for. */
  startExports(): void {
    const { planner } = this.parts;
    for (let order = planner.takeNextExport(); order; order = planner.takeNextExport()) {
      this.startExport(order);
    }
  }

  private transferGroup(
    engine: EngineModel,
    storeId: UpstreamId,
    group: readonly BlockImport[],
    tokens: ReadonlyMap<string, number>,
    finish: () => void,
  ): void {
    const { planner, stores } = this.parts;
    const store = stores.get(storeId)!;
    const bytes = group.reduce((sum, one) => sum + one.bytes, 0);
    const transfer = planner.beginImport(storeId, bytes);
    store.link.transfer(bytes, () => {
      const faulty = group.filter(({ name }) => !store.has(name)).map(({ key }) => key);
      if (transfer) planner.finishImport(storeId, transfer, true, faulty);
      engine.store(
        group
          .filter(({ key }) => !faulty.includes(key))
          .map(({ key }) => ({ key, tokens: tokens.get(key)! })),
      );
      group.forEach(({ key }) => {
        const flight = `${engine.upstreamId}/${key}`;
        const waiting = this.importing.get(flight) ?? [];
        this.importing.delete(flight);
        waiting.forEach((wake) => wake());
      });
      finish();
    });
  }

  private startExport(order: ExportOrder): void {
    const { planner, engines, stores } = this.parts;
    const { candidate, storeId, drops } = order;
    const store = stores.get(storeId)!;
    drops.forEach(({ name }) => store.delete(name));
    if (!engines.get(candidate.upstreamId)!.has(candidate.key)) {
      planner.finishExport(order, { kind: 'not-held' });
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
      planner.finishExport(order, { kind: 'stored', block });
    });
  }
}
