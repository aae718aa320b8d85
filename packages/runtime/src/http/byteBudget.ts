const MEGABYTE = 1_000_000;

/** Share of the memory for what is buffered for callers; the rest is the program and its garbage. */
const BUFFER_MEMORY_FRACTION = 0.2;

/** Computes how many bytes a process may buffer for all of its callers together. */
export const computeBufferBytes = (memoryMb: number): number =>
  memoryMb * MEGABYTE * BUFFER_MEMORY_FRACTION;

/** What bytes of the budget are held for. */
export type BytePurpose = 'request_body' | 'response' | 'event' | 'other';

/** Bytes that this process buffers for its callers, with one limit for all of them. */
export class ByteBudget {
  private held = 0;

  private readonly heldByPurpose: Record<BytePurpose, number> = {
    request_body: 0,
    response: 0,
    event: 0,
    other: 0,
  };

  constructor(readonly limitBytes: number) {}

  get heldBytes(): number {
    return this.held;
  }

  /** Bytes that are held for each purpose. */
  get purposes(): Readonly<Record<BytePurpose, number>> {
    return this.heldByPurpose;
  }

  canReserve(bytes: number): boolean {
    return this.held + bytes <= this.limitBytes;
  }

  /** @returns whether the bytes were reserved */
  tryReserve(bytes: number, purpose: BytePurpose = 'other'): boolean {
    if (!this.canReserve(bytes)) return false;
    this.held += bytes;
    this.heldByPurpose[purpose] += bytes;
    return true;
  }

  release(bytes: number, purpose: BytePurpose = 'other'): void {
    this.held -= bytes;
    this.heldByPurpose[purpose] -= bytes;
  }
}
