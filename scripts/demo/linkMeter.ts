import type { Site } from '../site/index.js';

interface StoreCounts {
  readonly transferredBytes: number;
}

interface StoreManifest {
  readonly linkBytesPerSecond: number;
}

/** Measures the use of the store VMs' links between two moments. */
export class LinkMeter {
  private startedAtMs = 0;

  private startBytes = 0;

  constructor(private readonly site: Site) {}

  /** Begins a stretch. */
  async begin(): Promise<void> {
    this.startBytes = await this.sumBytes();
    this.startedAtMs = Date.now();
  }

  /** Gives the bytes moved since the beginning and their share of what the links could move. */
  async measure(): Promise<{ readonly bytes: number; readonly share: number }> {
    const bytes = (await this.sumBytes()) - this.startBytes;
    const seconds = (Date.now() - this.startedAtMs) / 1000;
    return { bytes, share: bytes / ((await this.sumSpeed()) * seconds) };
  }

  private async sumBytes(): Promise<number> {
    const counts = this.site.settings.stores.map((vm) =>
      this.site.readCounts<StoreCounts>(vm.vmId),
    );
    return (await Promise.all(counts)).reduce((sum, one) => sum + one.transferredBytes, 0);
  }

  private async sumSpeed(): Promise<number> {
    const manifests = this.site.settings.stores.map((vm) =>
      this.site.readManifest<StoreManifest>(vm.vmId),
    );
    return (await Promise.all(manifests)).reduce((sum, one) => sum + one.linkBytesPerSecond, 0);
  }
}
