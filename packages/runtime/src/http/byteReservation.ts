import type { ByteBudget } from './byteBudget.js';

/** What one exchange holds of a budget. */
export class ByteReservation {
  private bytes = 0;

  constructor(private readonly budget: ByteBudget) {}

  /** @returns whether the bytes were added */
  tryGrow(bytes: number): boolean {
    if (!this.budget.tryReserve(bytes)) return false;
    this.bytes += bytes;
    return true;
  }

  release(): void {
    this.budget.release(this.bytes);
    this.bytes = 0;
  }
}
