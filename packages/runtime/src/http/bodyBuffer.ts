/** Bounds of the size of a block; between them it grows with the body, so that at most half of it is unused. */
const MIN_BLOCK_BYTES = 256;
const MAX_BLOCK_BYTES = 65_536;

/**
 * Collects a body in blocks. Only the first chunk is kept as it is, since most bodies have no other; the
 * rest is copied, because a small chunk that is kept takes a hundred times its bytes.
 */
export class BodyBuffer {
  private blocks: Buffer[] = [];

  /** Bytes of the last block that are in use. */
  private usedBytes = 0;

  private receivedBytes = 0;

  constructor(private readonly declaredBytes?: number) {}

  /** Number of bytes that have been collected. */
  get length(): number {
    return this.receivedBytes;
  }

  /** Computes how much more memory the body takes with a chunk of this length. */
  computeGrowth(chunkBytes: number): number {
    const missingBytes = chunkBytes - this.freeBytes;
    return missingBytes > 0 ? this.computeBlockBytes(missingBytes) : 0;
  }

  add(chunk: Buffer): void {
    const isFirst = this.blocks.length === 0;
    if (isFirst && chunk.length >= (this.declaredBytes ?? 0)) {
      this.blocks.push(chunk);
      this.usedBytes = chunk.length;
    } else this.appendCopy(chunk);
    this.receivedBytes += chunk.length;
  }

  /** Gives what has been collected, and forgets it. */
  take(): Buffer[] {
    const parts = this.listParts();
    this.blocks = [];
    this.usedBytes = 0;
    this.receivedBytes = 0;
    return parts;
  }

  build(): Buffer {
    const parts = this.listParts();
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
  }

  private get freeBytes(): number {
    return (this.blocks.at(-1)?.length ?? 0) - this.usedBytes;
  }

  private computeBlockBytes(missingBytes: number): number {
    if (this.blocks.length === 0) return Math.max(missingBytes, this.declaredBytes ?? 0);
    return Math.max(missingBytes, MIN_BLOCK_BYTES, Math.min(this.receivedBytes, MAX_BLOCK_BYTES));
  }

  private appendCopy(chunk: Buffer): void {
    const copiedBytes = Math.min(chunk.length, this.freeBytes);
    if (copiedBytes > 0) chunk.copy(this.blocks.at(-1)!, this.usedBytes, 0, copiedBytes);
    this.usedBytes += copiedBytes;
    if (copiedBytes === chunk.length) return;
    const block = Buffer.allocUnsafeSlow(this.computeBlockBytes(chunk.length - copiedBytes));
    this.usedBytes = chunk.copy(block, 0, copiedBytes);
    this.blocks.push(block);
  }

  private listParts(): Buffer[] {
    return this.blocks.map((block, index) =>
      index === this.blocks.length - 1 ? block.subarray(0, this.usedBytes) : block,
    );
  }
}
