import type { WorkloadId } from '../ids.js';
import {
  IDLE_TIME_BUCKETS_PER_OCTAVE,
  PRIOR_REUSE_PROBABILITY,
  REUSE_PRIOR_OBSERVATIONS,
  FORECAST_REFRESH_OBSERVATIONS,
  REUSE_HORIZON_MS,
  MAX_IDLE_OCTAVES,
} from './constants.js';

const MS_PER_S = 1000;
const MS_PER_HOUR = 3_600_000;
const BUCKET_COUNT = MAX_IDLE_OCTAVES * IDLE_TIME_BUCKETS_PER_OCTAVE;

const computeBucket = (idleMs: number): number => {
  const octaves = Math.log2(Math.max(1, idleMs / MS_PER_S));
  return Math.min(BUCKET_COUNT - 1, Math.floor(octaves * IDLE_TIME_BUCKETS_PER_OCTAVE));
};

const computeBucketStartMs = (bucket: number): number =>
  bucket === 0 ? 0 : 2 ** (bucket / IDLE_TIME_BUCKETS_PER_OCTAVE) * MS_PER_S;

/** Predicted reuse of a prompt that has been idle for some time. */
export interface ReuseForecast {
  /** Probability of a reuse within the horizon. */
  readonly probability: number;
  /** Expected reuses per hour of keeping the prompt; ranks which blocks to keep. */
  readonly reusesPerHour: number;
}

interface WorkloadObservations {
  /** Prompts that were still idle at the start of each bucket. */
  readonly atRisk: Float64Array;
  /** Prompts that were reused within each bucket. */
  readonly reused: Float64Array;
  /** Forecasts cached since the last refresh, by bucket. */
  readonly forecasts: Map<number, ReuseForecast>;
  observationsSinceRefresh: number;
}

const computeHazard = (observations: WorkloadObservations, bucket: number): number =>
  (observations.reused[bucket]! + PRIOR_REUSE_PROBABILITY * REUSE_PRIOR_OBSERVATIONS) /
  (observations.atRisk[bucket]! + REUSE_PRIOR_OBSERVATIONS);

/** Computes the forecast for a prompt whose idle time has reached a bucket. */
const computeForecast = (
  observations: WorkloadObservations,
  firstBucket: number,
): ReuseForecast => {
  let survival = 1;
  let expectedKeptMs = 0;
  let startMs = computeBucketStartMs(firstBucket);
  const endMs = startMs + REUSE_HORIZON_MS;
  for (let bucket = firstBucket; bucket < BUCKET_COUNT && startMs < endMs; bucket += 1) {
    const nextMs = computeBucketStartMs(bucket + 1);
    const hazard = computeHazard(observations, bucket);
    expectedKeptMs += survival * (1 - hazard / 2) * (nextMs - startMs);
    survival *= 1 - hazard;
    startMs = nextMs;
  }
  const probability = 1 - survival;
  return { probability, reusesPerHour: (probability * MS_PER_HOUR) / Math.max(1, expectedKeptMs) };
};

/**
 * Predicts when idle prompts are reused, based on the gaps observed for each workload. It is a
 * survival estimate (life table): for each idle time bucket, the fraction of prompts reused within
 * it among those that were still idle at its start. Prompts that are never reused count as well.
 */
export class ReuseModel {
  private readonly workloads = new Map<WorkloadId, WorkloadObservations>();

  /**
   * Records that a prompt was reused after a gap.
   *
   * @param countedIdleMs idle time of this gap that `recordIdle` has already counted
   */
  recordReuse(workloadId: WorkloadId, gapMs: number, countedIdleMs?: number): void {
    this.recordIdle(workloadId, gapMs, countedIdleMs);
    this.ensureObservations(workloadId).reused[computeBucket(gapMs)]! += 1;
  }

  /** Records that a prompt has been idle for some time and was not reused so far. */
  recordIdle(workloadId: WorkloadId, idleMs: number, countedIdleMs?: number): void {
    const observations = this.ensureObservations(workloadId);
    const first = countedIdleMs === undefined ? 0 : computeBucket(countedIdleMs) + 1;
    const last = computeBucket(idleMs);
    for (let bucket = first; bucket <= last; bucket += 1) observations.atRisk[bucket]! += 1;
    observations.observationsSinceRefresh += 1;
  }

  /** Estimates the reuse of a prompt that has been idle for some time. */
  estimateReuse(workloadId: WorkloadId, idleMs: number): ReuseForecast {
    const observations = this.ensureObservations(workloadId);
    if (observations.observationsSinceRefresh >= FORECAST_REFRESH_OBSERVATIONS) {
      observations.forecasts.clear();
      observations.observationsSinceRefresh = 0;
    }
    const bucket = computeBucket(idleMs);
    let forecast = observations.forecasts.get(bucket);
    if (!forecast) {
      forecast = computeForecast(observations, bucket);
      observations.forecasts.set(bucket, forecast);
    }
    return forecast;
  }

  private ensureObservations(workloadId: WorkloadId): WorkloadObservations {
    let observations = this.workloads.get(workloadId);
    if (!observations) {
      observations = {
        atRisk: new Float64Array(BUCKET_COUNT),
        reused: new Float64Array(BUCKET_COUNT),
        forecasts: new Map(),
        observationsSinceRefresh: 0,
      };
      this.workloads.set(workloadId, observations);
    }
    return observations;
  }
}
