import { SingleFlight, verifyBlock } from '@goldcrestscale/core';
import type {
  BlockImport,
  BlockKey,
  StoredBlock,
  TieringPlanner,
  UpstreamId,
} from '@goldcrestscale/core';
import type { BlockTransferClient, Manifest, StagedBlock } from './blockTransferClient.js';
import { IMPORT_TIMEOUT_MS } from './constants.js';

/** Options of a block importer. */
export interface BlockImporterOptions {
  readonly planner: TieringPlanner;
  readonly client: BlockTransferClient;
  readonly findUsableAddress: (storeId: UpstreamId) => string | undefined;
}

/** Engine into which blocks are imported. */
export interface ImportTarget {
  readonly upstreamId: UpstreamId;
  readonly address: string;
}

const groupByStore = (imports: readonly BlockImport[]): Map<UpstreamId, BlockImport[]> => {
  const groups = new Map<UpstreamId, BlockImport[]>();
  for (const blockImport of imports)
    groups.set(blockImport.storeId, [...(groups.get(blockImport.storeId) ?? []), blockImport]);
  return groups;
};

/** Selects the staged blocks that match the committed ones, by a manifest read after staging. */
const selectVerifiedKeys = (
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

/** Imports blocks into engines: stages them, verifies them after the read, then commits them. */
export class BlockImporter {
  private readonly inFlightImports = new SingleFlight<string, void>();

  constructor(private readonly options: BlockImporterOptions) {}

  /** Imports blocks. Blocks that fail are skipped, and the engine recomputes them. */
  async import(
    target: ImportTarget,
    imports: readonly BlockImport[],
    signal: AbortSignal,
  ): Promise<void> {
    const timeoutSignal = AbortSignal.any([signal, AbortSignal.timeout(IMPORT_TIMEOUT_MS)]);
    await Promise.all(
      [...groupByStore(imports)].map(([storeId, group]) => {
        const importKey = `${target.upstreamId}/${storeId}/${group.map(({ key }) => key).join()}`;
        return this.inFlightImports.run(importKey, () =>
          this.importGroup(target, storeId, group, timeoutSignal),
        );
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
    const totalBytes = expected.reduce((sum, { length }) => sum + length, 0);
    const transfer = planner.beginImport(storeId, totalBytes);
    if (!transfer) return;
    try {
      const verifiedKeys = await this.transferBlocks(target, storeId, expected, signal);
      const faultyKeys = expected
        .filter(({ key }) => !verifiedKeys.includes(key))
        .map(({ key }) => key);
      planner.finishImport(storeId, transfer, true, faultyKeys);
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
    const { client, findUsableAddress } = this.options;
    const store = findUsableAddress(storeId);
    if (store === undefined || expected.length === 0) return [];
    const namedBlocks = expected.map(({ key, name }) => ({ key, name }));
    const stagedImport = await client.import(target.address, store, namedBlocks, signal);
    const manifest = await client.fetchManifest(store, signal);
    const verifiedKeys = selectVerifiedKeys(expected, stagedImport.blocks, manifest);
    await client.commitImport(target.address, stagedImport.importId, verifiedKeys, signal);
    return verifiedKeys;
  }
}
