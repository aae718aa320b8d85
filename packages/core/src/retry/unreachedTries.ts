import { MAX_UNREACHED_TRIES_PER_SECOND } from './constants.js';

const SECOND_MS = 1_000;

/**
 * Limits the tries of a VM after connections that could not be opened. They are no repeats, so no
 * retry budget limits them.
 */
export class UnreachedTries {
  private readonly takenAtMs: number[] = [];

  /** Takes one try; false if this VM has had those of the last second. */
  tryTake(): boolean {
    const nowMs = performance.now();
    while (this.takenAtMs.length > 0 && this.takenAtMs[0]! <= nowMs - SECOND_MS)
      this.takenAtMs.shift();
    if (this.takenAtMs.length >= MAX_UNREACHED_TRIES_PER_SECOND) return false;
    this.takenAtMs.push(nowMs);
    return true;
  }
}
