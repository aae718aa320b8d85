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
import { PollSet } from '../../pollSet.js';
import { repeatUntilAborted, repeatWhileRunning } from '../../repeat.js';
import { Controller } from '../controller.js';
import { blockCalls } from './blockCalls.js';
import type { BlockCalls } from './blockCalls.js';
import { BlockExporter } from './blockExporter.js';
import { BlockImporter } from './blockImporter.js';
import type { ImportTarget } from './blockImporter.js';
import { EXPORT_POLL_MS, INITIAL_BYTES_PER_TOKEN, MANIFEST_POLL_MS } from './constants.js';

/** What the tiering controller reads. */
export interface TieringOptions {
  readonly listVms: () => readonly VmRecord[];
  readonly isZoneOut: (zone: AvailabilityZoneId) => boolean;
  readonly random: RandomGenerator;
  /** @default calls over HTTP */
  readonly calls?: BlockCalls;
}

/** Copies prompt blocks between engines and store VMs as the planner decides. */
export class TieringController extends Controller {
  override readonly name = 'tiering';

  private readonly polls = new PollSet<VmId>();

  readonly planner: TieringPlanner;

  private readonly calls: BlockCalls;

  private readonly importer: BlockImporter;

  private readonly exporter: BlockExporter;

  private readonly stores = new Set<UpstreamId>();

  constructor(private readonly options: TieringOptions) {
    super();
    this.calls = options.calls ?? blockCalls;
    this.planner = new TieringPlanner({
      random: options.random,
      bytesPerToken: INITIAL_BYTES_PER_TOKEN,
    });
    const parts = { planner: this.planner, calls: this.calls };
    this.importer = new BlockImporter({
      ...parts,
      findStoreAddress: (storeId) => this.findAddress(storeId),
    });
    this.exporter = new BlockExporter({
      ...parts,
      findAddress: (upstreamId) => this.findAddress(upstreamId),
    });
  }

  override async start(signal: AbortSignal): Promise<void> {
    await this.refresh(signal);
    repeatWhileRunning(() => this.refresh(signal), MANIFEST_POLL_MS, signal);
    void repeatUntilAborted(() => this.exporter.run(signal), EXPORT_POLL_MS, signal);
  }

  /** Notes that a prompt came. */
  noteVisit(workloadId: WorkloadId, blocks: readonly PromptBlock[]): void {
    this.planner.noteVisit(workloadId, blocks);
  }

  /** Notes that an engine now holds a prompt's blocks. */
  noteHeld(upstreamId: UpstreamId, workloadId: WorkloadId, blocks: readonly PromptBlock[]): void {
    this.planner.noteHeld(upstreamId, workloadId, blocks);
  }

  /** Imports blocks to an engine before a request runs there. */
  async import(
    target: ImportTarget,
    imports: readonly BlockImport[],
    signal: AbortSignal,
  ): Promise<void> {
    await this.importer.import(target, imports, signal);
  }

  /** Reads the manifests of the store VMs that may be used. */
  async refresh(signal: AbortSignal): Promise<void> {
    const stores = this.options.listVms().filter((vm) => vm.role === 'store');
    const listed = new Set(stores.map((vm) => toId<UpstreamId>(vm.vmId)));
    for (const storeId of this.stores) {
      if (!listed.has(storeId)) {
        this.stores.delete(storeId);
        this.planner.removeStore(storeId);
      }
    }
    // A store VM that does not answer is left alone by its failures in a row.
    await Promise.all(
      stores.map((vm) => this.polls.run(vm.vmId, () => this.refreshStore(vm, signal))),
    );
  }

  override dump(): unknown {
    return this.planner.dump();
  }

  private async refreshStore(vm: VmRecord, signal: AbortSignal): Promise<void> {
    const storeId = toId<UpstreamId>(vm.vmId);
    try {
      const { blocks, ...manifest } = await this.calls.fetchManifest(vm.address, signal);
      this.stores.add(storeId);
      const eligible = this.isUsable(vm);
      const { availabilityZone } = vm;
      this.planner.updateStore({ ...manifest, storeId, availabilityZone, eligible });
      this.planner.getCatalog(storeId)?.applyManifest(manifest.incarnation, blocks);
    } catch (error) {
      this.planner.getCatalog(storeId)?.noteOutcome(false);
      throw error;
    }
  }

  private isUsable(vm: VmRecord): boolean {
    return vm.state === 'live' && !this.options.isZoneOut(vm.availabilityZone);
  }

  /** Gives the address of a VM that may be used now. */
  private findAddress(upstreamId: UpstreamId): string | undefined {
    const vm = this.options.listVms().find(({ vmId }) => vmId === (upstreamId as string));
    return vm && this.isUsable(vm) ? vm.address : undefined;
  }
}
