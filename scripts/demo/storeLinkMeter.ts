import type { Site } from '../site/index.js';

interface StoreCounts {
  readonly transferredBytes: number;
}

interface StoreManifest {
  readonly linkBytesPerSecond: number;
}

/** Measures the network traffic of all store VMs during an interval. */
export class StoreLinkMeter {
  private startedAtMs = 0;

  private startTransferredBytes = 0;

  constructor(private readonly site: Site) {}

  /** Starts the measured interval. */
  async begin(): Promise<void> {
    this.startTransferredBytes = await this.sumTransferredBytes();
    this.startedAtMs = Date.now();
  }

  /** Returns the bytes transferred since `begin`, and the mean utilization of the links. */
  async measure(): Promise<{ readonly bytes: number; readonly utilization: number }> {
    const bytes = (await this.sumTransferredBytes()) - this.startTransferredBytes;
    const seconds = (Date.now() - this.startedAtMs) / 1000;
    return { bytes, utilization: bytes / ((await this.sumBandwidthBytesPerSecond()) * seconds) };
  }

  private async sumTransferredBytes(): Promise<number> {
    const counts = this.site.settings.stores.map((vm) =>
      this.site.readCounts<StoreCounts>(vm.vmId),
    );
    return (await Promise.all(counts)).reduce((sum, store) => sum + store.transferredBytes, 0);
  }

  private async sumBandwidthBytesPerSecond(): Promise<number> {
    const manifests = this.site.settings.stores.map((vm) =>
      this.site.readManifest<StoreManifest>(vm.vmId),
    );
    return (await Promise.all(manifests)).reduce((sum, store) => sum + store.linkBytesPerSecond, 0);
  }
}
