import { setTimeout as sleep } from 'node:timers/promises';

const CHUNK_BYTES = 32_768;

/** Link of limited speed; its transfers take turns by chunk and so share it evenly. */
export class Link {
  private busyUntilMs = 0;

  private active = 0;

  private transferred = 0;

  constructor(private readonly getBytesPerSecond: () => number) {}

  get activeTransfers(): number {
    return this.active;
  }

  get transferredBytes(): number {
    return this.transferred;
  }

  /** Moves bytes at the link's pace; tells of each chunk as it passes. */
  async transfer(
    bytes: number,
    signal: AbortSignal,
    onChunk: (start: number, end: number) => void = () => undefined,
  ): Promise<void> {
    this.active += 1;
    try {
      for (let start = 0; start < bytes; start += CHUNK_BYTES) {
        const end = Math.min(start + CHUNK_BYTES, bytes);
        await this.waitForTurn(end - start, signal);
        this.transferred += end - start;
        onChunk(start, end);
      }
    } finally {
      this.active -= 1;
    }
  }

  private async waitForTurn(bytes: number, signal: AbortSignal): Promise<void> {
    const now = performance.now();
    const costMs = (bytes / this.getBytesPerSecond()) * 1000;
    this.busyUntilMs = Math.max(this.busyUntilMs, now) + costMs;
    await sleep(this.busyUntilMs - now, undefined, { signal });
  }
}
