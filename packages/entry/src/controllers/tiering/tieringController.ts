import { TieringPlanner, toId } from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  BlockImport,
  PromptBlock,
  UpstreamId,
  VmId,
  VmRecord,
  WorkloadId,
} from '@goldcrestscale/core';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { KeyedPoller } from '../../keyedPoller.js';
import { repeatUntilAborted, repeatAtInterval } from '../../repeat.js';
import { Controller } from '../controller.js';
import { httpBlockTransferClient } from './blockTransferClient.js';
import type { BlockTransferClient } from './blockTransferClient.js';
import { BlockExporter } from './blockExporter.js';
import { BlockImporter } from './blockImporter.js';
import type { ImportTarget } from './blockImporter.js';
import {
  EXPORT_INTERVAL_MS,
  INITIAL_KV_BYTES_PER_TOKEN,
  MANIFEST_POLL_INTERVAL_MS,
} from './constants.js';

/** Options of the tiering controller. */
export interface TieringOptions {
  readonly listVms: () => readonly VmRecord[];
  readonly isZoneOut: (zone: AvailabilityZoneId) => boolean;
  readonly random: RandomGenerator;
  /** @default a client over HTTP */
  readonly client?: BlockTransferClient;
}

/** Copies KV-cache blocks between engines and store VMs as the planner decides. */
export class TieringController extends Controller {
  override readonly name = 'tiering';

  private readonly pollSet = new KeyedPoller<VmId>();

  readonly planner: TieringPlanner;

  private readonly client: BlockTransferClient;

  private readonly importer: BlockImporter;

  private readonly exporter: BlockExporter;

  private readonly knownStores = new Set<UpstreamId>();

  constructor(private readonly options: TieringOptions) {
    super();
    this.client = options.client ?? httpBlockTransferClient;
    this.planner = new TieringPlanner({
      random: options.random,
      bytesPerToken: INITIAL_KV_BYTES_PER_TOKEN,
    });
    const shared = { planner: this.planner, client: this.client };
    this.importer = new BlockImporter({
      ...shared,
      findUsableAddress: (storeId) => this.findUsableAddress(storeId),
    });
    this.exporter = new BlockExporter({
      ...shared,
      findUsableAddress: (upstreamId) => this.findUsableAddress(upstreamId),
    });
  }

  override async start(signal: AbortSignal): Promise<void> {
    await this.refreshManifests(signal);
    repeatAtInterval(() => this.refreshManifests(signal), MANIFEST_POLL_INTERVAL_MS, signal);
    void repeatUntilAborted(() => this.exporter.run(signal), EXPORT_INTERVAL_MS, signal);
  }

  /** Records that a prompt was received. */
  recordPrompt(workloadId: WorkloadId, blocks: readonly PromptBlock[]): void {
    this.planner.recordAccess(workloadId, blocks);
  }

  /** Records that an engine now has a prompt's blocks in its cache. */
  recordCachedBlocks(
    upstreamId: UpstreamId,
    workloadId: WorkloadId,
    blocks: readonly PromptBlock[],
  ): void {
    this.planner.recordCachedBlocks(upstreamId, workloadId, blocks);
  }

  /** Imports blocks into an engine before a request runs there. */
  async import(
    target: ImportTarget,
    imports: readonly BlockImport[],
    signal: AbortSignal,
  ): Promise<void> {
    await this.importer.import(target, imports, signal);
  }

  /** Reads the manifests of the store VMs on the VM list. */
  async refreshManifests(signal: AbortSignal): Promise<void> {
    const stores = this.options.listVms().filter((vm) => vm.role === 'store');
    const listedIds = new Set(stores.map((vm) => toId<UpstreamId>(vm.vmId)));
    for (const storeId of this.knownStores) {
      if (!listedIds.has(storeId)) {
        this.knownStores.delete(storeId);
        this.planner.removeStore(storeId);
      }
    }
    // A store VM that keeps failing is excluded by its count of consecutive failures.
    await Promise.all(
      stores.map((vm) => this.pollSet.run(vm.vmId, () => this.refreshManifest(vm, signal))),
    );
  }

  override dump(): unknown {
    return this.planner.dump();
  }

  private async refreshManifest(vm: VmRecord, signal: AbortSignal): Promise<void> {
    const storeId = toId<UpstreamId>(vm.vmId);
    try {
      const { blocks, ...manifest } = await this.client.fetchManifest(vm.address, signal);
      this.knownStores.add(storeId);
      const eligible = this.isUsable(vm);
      const { availabilityZone } = vm;
      this.planner.updateStore({ ...manifest, storeId, availabilityZone, eligible });
      this.planner.getCatalog(storeId)?.applyManifest(manifest.incarnation, blocks);
    } catch (error) {
      this.planner.getCatalog(storeId)?.recordOutcome(false);
      throw error;
    }
  }

  private isUsable(vm: VmRecord): boolean {
    return vm.state === 'live' && !this.options.isZoneOut(vm.availabilityZone);
  }

  /** Returns the address of a VM if it is live and its availability zone is in service. */
  private findUsableAddress(upstreamId: UpstreamId): string | undefined {
    const vm = this.options.listVms().find(({ vmId }) => vmId === (upstreamId as string));
    return vm && this.isUsable(vm) ? vm.address : undefined;
  }
}
