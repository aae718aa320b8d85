import type { BlockKey, UpstreamId, WorkloadId } from '../ids.js';
import { EXPORT_SCAN, MAX_EXPORT_QUEUE } from './constants.js';

/** A block that an upstream holds and no store VM, or too few of them. */
export interface ExportCandidate {
  readonly key: BlockKey;
  readonly upstreamId: UpstreamId;
  readonly workloadId: WorkloadId;
  readonly position: number;
  readonly tokens: number;
  readonly bytes: number;
  /** Block before it in the prompt; undefined for the first one. */
  readonly previous: BlockKey | undefined;
  /** Block that follows in the prompt; undefined for the last one. */
  readonly next: BlockKey | undefined;
  readonly queuedAtMs: number;
}

/** Blocks that wait for export, one entry a block; the oldest are dropped when it is full. */
export class ExportQueue {
  private readonly waiting = new Map<BlockKey, ExportCandidate>();

  get size(): number {
    return this.waiting.size;
  }

  add(candidate: ExportCandidate): void {
    this.waiting.delete(candidate.key);
    this.waiting.set(candidate.key, candidate);
    if (this.waiting.size > MAX_EXPORT_QUEUE) {
      this.waiting.delete(this.waiting.keys().next().value!);
    }
  }

  /** Removes what an upstream no longer holds. */
  removeUpstream(upstreamId: UpstreamId): void {
    for (const [key, candidate] of this.waiting) {
      if (candidate.upstreamId === upstreamId) this.waiting.delete(key);
    }
  }

  delete(key: BlockKey): void {
    this.waiting.delete(key);
  }

  /** Lists the first candidates by value, the highest first. */
  rank(computeValue: (candidate: ExportCandidate) => number): ExportCandidate[] {
    const scanned: { candidate: ExportCandidate; value: number }[] = [];
    for (const candidate of this.waiting.values()) {
      scanned.push({ candidate, value: computeValue(candidate) });
      if (scanned.length >= EXPORT_SCAN) break;
    }
    return scanned
      .sort((left, right) => right.value - left.value)
      .map(({ candidate }) => candidate);
  }
}
