import type { BlockKey, UpstreamId, WorkloadId } from '../ids.js';
import { EXPORT_SCAN_LIMIT, MAX_EXPORT_QUEUE_SIZE } from './constants.js';

/** Block held by an upstream that has too few copies on store VMs. */
export interface ExportCandidate {
  readonly key: BlockKey;
  readonly upstreamId: UpstreamId;
  readonly workloadId: WorkloadId;
  readonly position: number;
  readonly tokens: number;
  readonly bytes: number;
  /** Preceding block of the prompt; undefined for the first one. */
  readonly previous: BlockKey | undefined;
  /** Following block of the prompt; undefined for the last one. */
  readonly next: BlockKey | undefined;
  readonly queuedAtMs: number;
}

/** Queue of blocks to export, with one entry per block; drops the oldest entry when it is full. */
export class ExportQueue {
  private readonly candidates = new Map<BlockKey, ExportCandidate>();

  get size(): number {
    return this.candidates.size;
  }

  add(candidate: ExportCandidate): void {
    this.candidates.delete(candidate.key);
    this.candidates.set(candidate.key, candidate);
    if (this.candidates.size > MAX_EXPORT_QUEUE_SIZE) {
      this.candidates.delete(this.candidates.keys().next().value!);
    }
  }

  /** Removes all blocks of an upstream, which it no longer holds. */
  removeUpstream(upstreamId: UpstreamId): void {
    for (const [key, candidate] of this.candidates) {
      if (candidate.upstreamId === upstreamId) this.candidates.delete(key);
    }
  }

  delete(key: BlockKey): void {
    this.candidates.delete(key);
  }

  /** Lists the oldest `EXPORT_SCAN_LIMIT` candidates, sorted by value in descending order. */
  listByValue(computeValue: (candidate: ExportCandidate) => number): ExportCandidate[] {
    const scanned: { candidate: ExportCandidate; value: number }[] = [];
    for (const candidate of this.candidates.values()) {
      scanned.push({ candidate, value: computeValue(candidate) });
      if (scanned.length >= EXPORT_SCAN_LIMIT) break;
    }
    return scanned
      .sort((left, right) => right.value - left.value)
      .map(({ candidate }) => candidate);
  }
}
