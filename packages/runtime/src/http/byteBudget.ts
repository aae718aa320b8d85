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
