import type { BytePurpose, ByteBudget } from './byteBudget.js';

/** What one exchange holds of a budget. */
export class ByteReservation {
  private readonly bytes = new Map<BytePurpose, number>();

  constructor(private readonly budget: ByteBudget) {}

  canGrow(bytes: number): boolean {
    return this.budget.canReserve(bytes);
  }

  /** @returns whether the bytes were added */
  tryGrow(bytes: number, purpose: BytePurpose = 'other'): boolean {
    if (!this.budget.tryReserve(bytes, purpose)) return false;
    this.bytes.set(purpose, (this.bytes.get(purpose) ?? 0) + bytes);
    return true;
  }

  /** Gives back a part of what is held for a purpose. */
  releasePart(bytes: number, purpose: BytePurpose): void {
    const heldBytes = this.bytes.get(purpose) ?? 0;
    // All of it may have been released already, at the end of the exchange.
    const releasedBytes = Math.min(bytes, heldBytes);
    this.bytes.set(purpose, heldBytes - releasedBytes);
    this.budget.release(releasedBytes, purpose);
  }

  release(): void {
    this.bytes.forEach((bytes, purpose) => this.budget.release(bytes, purpose));
    this.bytes.clear();
  }
}
