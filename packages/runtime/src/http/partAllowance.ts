/** Parts that a message may have beside those that its bytes and its time allow. */
const FREE_PARTS = 4_096;

/** Smallest mean size of the parts of a message that is sent at full speed. */
const MIN_MEAN_PART_BYTES = 64;

/** Parts of any size that a message may have for each millisecond that it takes. */
const PARTS_PER_MS = 1;

/**
 * Bounds the parts in which a peer sends one message. A part takes about the same processor time however
 * small it is, so that a peer that sends its bytes one by one would keep the process from all others.
 */
export class PartAllowance {
  private readonly startedAtMs = performance.now();

  private parts = 0;

  private bytes = 0;

  /** @returns whether the message may have one more part, of this length */
  tryTake(partBytes: number): boolean {
    this.parts += 1;
    this.bytes += partBytes;
    const excess = this.parts - this.bytes / MIN_MEAN_PART_BYTES - FREE_PARTS;
    return excess <= 0 || excess <= (performance.now() - this.startedAtMs) * PARTS_PER_MS;
  }
}
