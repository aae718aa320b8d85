import type { WorkloadId } from '../ids.js';
import {
  BUCKETS_PER_OCTAVE,
  PRIOR_RETURN_SHARE,
  PRIOR_VISITS,
  REFRESH_VISITS,
  RETURN_HORIZON_MS,
  TRACKED_OCTAVES,
} from './constants.js';

const MS_PER_S = 1000;
const MS_PER_HOUR = 3_600_000;
const BUCKETS = TRACKED_OCTAVES * BUCKETS_PER_OCTAVE;

const computeBucket = (idleMs: number): number => {
  const octaves = Math.log2(Math.max(1, idleMs / MS_PER_S));
  return Math.min(BUCKETS - 1, Math.floor(octaves * BUCKETS_PER_OCTAVE));
};

const computeStartMs = (bucket: number): number =>
  bucket === 0 ? 0 : 2 ** (bucket / BUCKETS_PER_OCTAVE) * MS_PER_S;

/** Prospect of a prompt that has been idle for some time. */
export interface ReturnProspect {
  /** Probability of a return within the horizon. */
  readonly probability: number;
  /** Returns expected an hour of keeping it; orders what to keep. */
  readonly returnsPerHour: number;
}

interface WorkloadGaps {
  /** Visits that were still idle when a bucket began. */
  readonly atRisk: Float64Array;
  /** Visits that returned within a bucket. */
  readonly returned: Float64Array;
  /** Prospects computed since the last refresh, by bucket. */
  readonly prospects: Map<number, ReturnProspect>;
  learnedSince: number;
}

const computeHazard = (gaps: WorkloadGaps, bucket: number): number =>
  (gaps.returned[bucket]! + PRIOR_RETURN_SHARE * PRIOR_VISITS) /
  (gaps.atRisk[bucket]! + PRIOR_VISITS);

/** Computes the prospect of a prompt whose idle time has reached a bucket. */
const computeProspect = (gaps: WorkloadGaps, first: number): ReturnProspect => {
  let survival = 1;
  let keptMs = 0;
  let startMs = computeStartMs(first);
  const endMs = startMs + RETURN_HORIZON_MS;
  for (let bucket = first; bucket < BUCKETS && startMs < endMs; bucket += 1) {
    const nextMs = computeStartMs(bucket + 1);
    const hazard = computeHazard(gaps, bucket);
    keptMs += survival * (1 - hazard / 2) * (nextMs - startMs);
    survival *= 1 - hazard;
    startMs = nextMs;
  }
  const probability = 1 - survival;
  return { probability, returnsPerHour: (probability * MS_PER_HOUR) / Math.max(1, keptMs) };
};

/**
 * Learns from observed gaps when prompts return, by workload. The estimate is a life table: for
 * each span of idle time the share of the visits that returned within it, among those that had
 * not returned before, so that prompts which never return count as well.
 */
export class ReturnModel {
  private readonly workloads = new Map<WorkloadId, WorkloadGaps>();

  /**
   * Learns that a prompt returned after a gap.
   *
   * @param countedMs idle time of this visit that `learnIdle` has counted already
   */
  learnReturn(workloadId: WorkloadId, gapMs: number, countedMs?: number): void {
    this.learnIdle(workloadId, gapMs, countedMs);
    this.ensureGaps(workloadId).returned[computeBucket(gapMs)]! += 1;
  }

  /** Learns that a prompt has been idle for a time without a return so far. */
  learnIdle(workloadId: WorkloadId, idleMs: number, countedMs?: number): void {
    const gaps = this.ensureGaps(workloadId);
    const first = countedMs === undefined ? 0 : computeBucket(countedMs) + 1;
    const last = computeBucket(idleMs);
    for (let bucket = first; bucket <= last; bucket += 1) gaps.atRisk[bucket]! += 1;
    gaps.learnedSince += 1;
  }

  /** Estimates the prospect of a prompt that has been idle for a time. */
  estimateReturn(workloadId: WorkloadId, idleMs: number): ReturnProspect {
    const gaps = this.ensureGaps(workloadId);
    if (gaps.learnedSince >= REFRESH_VISITS) {
      gaps.prospects.clear();
      gaps.learnedSince = 0;
    }
    const bucket = computeBucket(idleMs);
    let prospect = gaps.prospects.get(bucket);
    if (!prospect) {
      prospect = computeProspect(gaps, bucket);
      gaps.prospects.set(bucket, prospect);
    }
    return prospect;
  }

  private ensureGaps(workloadId: WorkloadId): WorkloadGaps {
    let gaps = this.workloads.get(workloadId);
    if (!gaps) {
      gaps = {
        atRisk: new Float64Array(BUCKETS),
        returned: new Float64Array(BUCKETS),
        prospects: new Map(),
        learnedSince: 0,
      };
      this.workloads.set(workloadId, gaps);
    }
    return gaps;
  }
}
