const MEGABYTE = 1_000_000;

/** Share of the memory for what is buffered for callers; the rest is the program and its garbage. */
const BUFFER_MEMORY_FRACTION = 0.2;

/** Computes how many bytes a process may buffer for all of its callers together. */
export const computeBufferBytes = (memoryMb: number): number =>
  memoryMb * MEGABYTE * BUFFER_MEMORY_FRACTION;

/** Bytes that this process buffers for its callers, with one limit for all of them. */
export class ByteBudget {
  private held = 0;

  constructor(readonly limitBytes: number) {}

  get heldBytes(): number {
    return this.held;
  }

  /** @returns whether the bytes were reserved */
  tryReserve(bytes: number): boolean {
    if (this.held + bytes > this.limitBytes) return false;
    this.held += bytes;
    return true;
  }

  release(bytes: number): void {
    this.held -= bytes;
  }
}
