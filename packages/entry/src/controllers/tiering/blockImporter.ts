import { SingleFlight, verifyBlock } from '@goldcrestscale/core';
import type {
  BlockImport,
  BlockKey,
  StoredBlock,
  TieringPlanner,
  UpstreamId,
} from '@goldcrestscale/core';
import type { BlockCalls, Manifest, StagedBlock } from './blockCalls.js';
import { IMPORT_TIMEOUT_MS } from './constants.js';

/** What importing needs. */
export interface BlockImporterOptions {
  readonly planner: TieringPlanner;
  readonly calls: BlockCalls;
  readonly findStoreAddress: (storeId: UpstreamId) => string | undefined;
}

/** Engine to which blocks are imported. */
export interface ImportTarget {
  readonly upstreamId: UpstreamId;
  readonly address: string;
}

const groupByStore = (imports: readonly BlockImport[]): Map<UpstreamId, BlockImport[]> => {
  const groups = new Map<UpstreamId, BlockImport[]>();
  for (const one of imports) groups.set(one.storeId, [...(groups.get(one.storeId) ?? []), one]);
  return groups;
};

/** Tells which staged blocks are those that were committed, by the manifest read afterwards. */
const selectVerified = (
  expected: readonly StoredBlock[],
  staged: readonly StagedBlock[],
  manifest: Manifest,
): BlockKey[] =>
  expected
    .filter((block) => {
      const received = staged.find(({ key }) => key === block.key);
      const listed = manifest.blocks.find(({ name }) => name === block.name);
      const status = listed && { ...listed, incarnation: manifest.incarnation };
      return received && verifyBlock(block, received, status) === undefined;
    })
    .map(({ key }) => key);

/** Imports blocks to engines: staged, verified after the read, then committed. */
export class BlockImporter {
  private readonly flights = new SingleFlight<string, void>();

  constructor(private readonly options: BlockImporterOptions) {}

  /** Imports blocks; what fails is left out, and the engine computes it. */
  async import(
    target: ImportTarget,
    imports: readonly BlockImport[],
    signal: AbortSignal,
  ): Promise<void> {
    const limited = AbortSignal.any([signal, AbortSignal.timeout(IMPORT_TIMEOUT_MS)]);
    await Promise.all(
      [...groupByStore(imports)].map(([storeId, group]) => {
        const flight = `${target.upstreamId}/${storeId}/${group.map(({ key }) => key).join()}`;
        return this.flights.run(flight, () => this.importGroup(target, storeId, group, limited));
      }),
    );
  }

  private async importGroup(
    target: ImportTarget,
    storeId: UpstreamId,
    group: readonly BlockImport[],
    signal: AbortSignal,
  ): Promise<void> {
    const { planner } = this.options;
    const catalog = planner.getCatalog(storeId);
    const expected = group.flatMap(({ key }) => catalog?.get(key)?.block ?? []);
    const bytes = expected.reduce((sum, { length }) => sum + length, 0);
    const transfer = planner.beginImport(storeId, bytes);
    if (!transfer) return;
    try {
      const verified = await this.transferBlocks(target, storeId, expected, signal);
      const faulty = expected.filter(({ key }) => !verified.includes(key)).map(({ key }) => key);
      planner.finishImport(storeId, transfer, true, faulty);
    } catch {
      planner.finishImport(storeId, transfer, false);
    }
  }

  private async transferBlocks(
    target: ImportTarget,
    storeId: UpstreamId,
    expected: readonly StoredBlock[],
    signal: AbortSignal,
  ): Promise<readonly BlockKey[]> {
    const { calls, findStoreAddress } = this.options;
    const store = findStoreAddress(storeId);
    if (store === undefined || expected.length === 0) return [];
    const named = expected.map(({ key, name }) => ({ key, name }));
    const stage = await calls.import(target.address, store, named, signal);
    const manifest = await calls.fetchManifest(store, signal);
    const verified = selectVerified(expected, stage.blocks, manifest);
    await calls.commitImport(target.address, stage.importId, verified, signal);
    return verified;
  }
}
