import { toId } from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  ManifestBlock,
  StoredBlock,
  StoreView,
  UpstreamId,
} from '@goldcrestscale/core';
import type { EventQueue } from './eventQueue.js';
import { LinkModel } from './linkModel.js';
import {
  STORE_CAPACITY_BYTES,
  STORE_LINK_BYTES_PER_SECOND,
  STORE_MEMORY_BYTES,
} from './constants.js';

/** Simulated store VM: a link and committed blocks by name, the newest of them in memory. */
export class StoreModel {
  readonly link: LinkModel;

  private readonly blocks = new Map<string, StoredBlock>();

  private incarnation = 1;

  constructor(
    readonly storeId: UpstreamId,
    readonly zone: string,
    queue: EventQueue,
  ) {
    this.link = new LinkModel(queue, STORE_LINK_BYTES_PER_SECOND);
  }

  put(block: StoredBlock): void {
    this.blocks.set(block.name, block);
  }

  delete(name: string): void {
    this.blocks.delete(name);
  }

  has(name: string): boolean {
    return this.blocks.has(name);
  }

  /** Restarts with the blocks on disk; those in memory are lost. */
  restart(): void {
    this.incarnation += 1;
    let memoryBytes = STORE_MEMORY_BYTES;
    for (const block of [...this.blocks.values()].reverse()) {
      memoryBytes -= block.length;
      if (memoryBytes < 0) break;
      this.blocks.delete(block.name);
    }
  }

  getIncarnation(): string {
    return `${this.storeId}-${this.incarnation}`;
  }

  listManifest(): ManifestBlock[] {
    return [...this.blocks.values()].map(({ name, length, checksum, generation }) => ({
      name,
      length,
      checksum,
      generation,
      state: 'committed',
    }));
  }

  getView(eligible: boolean): StoreView {
    return {
      storeId: this.storeId,
      availabilityZone: toId<AvailabilityZoneId>(this.zone),
      eligible,
      incarnation: this.getIncarnation(),
      capacityBytes: STORE_CAPACITY_BYTES,
      linkBytesPerSecond: STORE_LINK_BYTES_PER_SECOND,
      activeTransfers: this.link.active,
    };
  }
}
