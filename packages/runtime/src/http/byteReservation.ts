import type { BytePurpose, ByteBudget } from './byteBudget.js';

/** What one exchange holds of a budget. */
export class ByteReservation {
  private readonly bytes = new Map<BytePurpose, number>();

  constructor(private readonly budget: ByteBudget) {}

  /** @returns whether the bytes were added */
  tryGrow(bytes: number, purpose: BytePurpose): boolean {
    if (!this.budget.tryReserve(bytes, purpose)) return false;
    this.bytes.set(purpose, (this.bytes.get(purpose) ?? 0) + bytes);
    return true;
  }

  release(): void {
    this.bytes.forEach((bytes, purpose) => this.budget.release(bytes, purpose));
    this.bytes.clear();
  }
}
