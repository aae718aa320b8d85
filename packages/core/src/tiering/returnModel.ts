import type { WorkloadId } from '../ids.js';
import {
  BUCKETS_PER_OCTAVE,
  PRIOR_RETURN_SHARE,
  PRIOR_VISITS,
  RETURN_HORIZON_MS,
  TRACKED_OCTAVES,
} from './constants.js';

const MS_PER_S = 1000;
const BUCKETS = TRACKED_OCTAVES * BUCKETS_PER_OCTAVE;

const computeBucket = (idleMs: number): number => {
  const octaves = Math.log2(Math.max(1, idleMs / MS_PER_S));
  return Math.min(BUCKETS - 1, Math.floor(octaves * BUCKETS_PER_OCTAVE));
};

const computeStartMs = (bucket: number): number =>
  bucket === 0 ? 0 : 2 ** (bucket / BUCKETS_PER_OCTAVE) * MS_PER_S;

interface WorkloadGaps {
  /** Visits that were still idle when a bucket began. */
  readonly atRisk: Float64Array;
  /** Visits that returned within a bucket. */
  readonly returned: Float64Array;
}

const computeHazard = (gaps: WorkloadGaps | undefined, bucket: number): number => {
  const returned = gaps?.returned[bucket] ?? 0;
  const atRisk = gaps?.atRisk[bucket] ?? 0;
  return (returned + PRIOR_RETURN_SHARE * PRIOR_VISITS) / (atRisk + PRIOR_VISITS);
};

/** Prospect of a prompt that has been idle for some time. */
export interface ReturnProspect {
  /** Probability of a return within the horizon. */
  readonly probability: number;
  /** Returns expected an hour of keeping it; orders what to keep. */
  readonly returnsPerHour: number;
}

/**
 * Learns from observed gaps when prompts return, by workload. The estimate is a life table: for
 * each span of idle time the share of the visits that returned within it, among those that had
 * not returned before, so that prompts which never return count as well.
 */
export class ReturnModel {
  private readonly workloads = new Map<WorkloadId, WorkloadGaps>();

  /** Learns that a prompt returned after a gap. */
  learnReturn(workloadId: WorkloadId, gapMs: number): void {
    const gaps = this.learnIdle(workloadId, gapMs);
    gaps.returned[computeBucket(gapMs)]! += 1;
  }

  /** Learns that a prompt had not returned when it was given up after an idle time. */
  learnLoss(workloadId: WorkloadId, idleMs: number): void {
    this.learnIdle(workloadId, idleMs);
  }

  /** Estimates the prospect of a prompt that has been idle for a time. */
  estimateReturn(
    workloadId: WorkloadId,
    idleMs: number,
    horizonMs: number = RETURN_HORIZON_MS,
  ): ReturnProspect {
    const gaps = this.workloads.get(workloadId);
    let survival = 1;
    let keptMs = 0;
    let fromMs = idleMs;
    const endMs = idleMs + horizonMs;
    for (let bucket = computeBucket(idleMs); bucket < BUCKETS && fromMs < endMs; bucket += 1) {
      const startMs = computeStartMs(bucket);
      const nextMs = computeStartMs(bucket + 1);
      const part = (Math.min(nextMs, endMs) - fromMs) / (nextMs - startMs);
      const hazard = 1 - (1 - computeHazard(gaps, bucket)) ** part;
      keptMs += survival * (1 - hazard / 2) * (Math.min(nextMs, endMs) - fromMs);
      survival *= 1 - hazard;
      fromMs = nextMs;
    }
    const probability = 1 - survival;
    return { probability, returnsPerHour: (probability * 3_600_000) / Math.max(1, keptMs) };
  }

  private learnIdle(workloadId: WorkloadId, idleMs: number): WorkloadGaps {
    let gaps = this.workloads.get(workloadId);
    if (!gaps) {
      gaps = { atRisk: new Float64Array(BUCKETS), returned: new Float64Array(BUCKETS) };
      this.workloads.set(workloadId, gaps);
    }
    const last = computeBucket(idleMs);
    for (let bucket = 0; bucket <= last; bucket += 1) gaps.atRisk[bucket]! += 1;
    return gaps;
  }
}
