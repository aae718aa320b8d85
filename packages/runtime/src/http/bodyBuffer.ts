/** Collects a body; one whose length is known goes into a buffer of that size, so that no chunk is kept. */
export class BodyBuffer {
  private readonly chunks: Buffer[] = [];

  private whole: Buffer | undefined;

  private receivedBytes = 0;

  constructor(private readonly declaredBytes: number | undefined) {}

  add(chunk: Buffer): void {
    const { declaredBytes, receivedBytes } = this;
    this.receivedBytes += chunk.length;
    if (declaredBytes === undefined || chunk.length === declaredBytes) this.chunks.push(chunk);
    else {
      this.whole ??= Buffer.allocUnsafeSlow(declaredBytes);
      chunk.copy(this.whole, receivedBytes);
    }
  }

  /** Gives what has been collected, and forgets it. */
  take(): Buffer[] {
    const parts = this.whole ? [this.whole.subarray(0, this.receivedBytes)] : this.chunks.splice(0);
    this.whole = undefined;
    return parts;
  }

  build(): Buffer {
    return this.whole ?? (this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks));
  }
}
