import { setTimeout as sleep } from 'node:timers/promises';

const CHUNK_BYTES = 32_768;

/**
 * Limits the bandwidth of a link; concurrent transfers alternate by chunk and so share it evenly.
 */
export class BandwidthLimiter {
  private busyUntilMs = 0;

  private activeCount = 0;

  private totalBytes = 0;

  constructor(private readonly getBytesPerSecond: () => number) {}

  get activeTransfers(): number {
    return this.activeCount;
  }

  get transferredBytes(): number {
    return this.totalBytes;
  }

  /** Transfers bytes at the limited rate and calls `onChunk` for each chunk. */
  async transfer(
    bytes: number,
    signal: AbortSignal,
    onChunk: (start: number, end: number) => void = () => undefined,
  ): Promise<void> {
    this.activeCount += 1;
    try {
      for (let start = 0; start < bytes; start += CHUNK_BYTES) {
        const end = Math.min(start + CHUNK_BYTES, bytes);
        await this.waitForTurn(end - start, signal);
        this.totalBytes += end - start;
        onChunk(start, end);
      }
    } finally {
      this.activeCount -= 1;
    }
  }

  private async waitForTurn(bytes: number, signal: AbortSignal): Promise<void> {
    const nowMs = performance.now();
    const costMs = (bytes / this.getBytesPerSecond()) * 1000;
    this.busyUntilMs = Math.max(this.busyUntilMs, nowMs) + costMs;
    await sleep(this.busyUntilMs - nowMs, undefined, { signal });
  }
}
