import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { ModelId, UpstreamId } from '../ids.js';
import { FIRST_QUEUE_TIME_BUCKET_MS, QUEUE_TIME_BUCKET_COUNT } from './constants.js';
import { estimateQueueMs } from './estimate.js';
import type { UpstreamView } from './router.js';

interface PoolEntry {
  readonly view: UpstreamView;
  readonly bucket: UpstreamId[];
  readonly position: number;
}

const computeBucketIndex = (queueMs: number): number =>
  Math.min(
    QUEUE_TIME_BUCKET_COUNT - 1,
    Math.floor(Math.log2(1 + queueMs / FIRST_QUEUE_TIME_BUCKET_MS)),
  );

/**
 * Upstreams in buckets of estimated queue time. An update moves one entry between buckets, and the
 * least-loaded upstreams are found without scanning the others.
 */
export class UpstreamPool {
  private readonly entries = new Map<UpstreamId, PoolEntry>();

  private readonly bucketsByModel = new Map<ModelId | undefined, UpstreamId[][]>();

  static create(views: readonly UpstreamView[]): UpstreamPool {
    const pool = new UpstreamPool();
    views.forEach((view) => pool.update(view));
    return pool;
  }

  get size(): number {
    return this.entries.size;
  }

  get(upstreamId: UpstreamId): UpstreamView | undefined {
    return this.entries.get(upstreamId)?.view;
  }

  /** Inserts or replaces the view of an upstream. */
  update(view: UpstreamView): void {
    const bucket = this.getBucket(view);
    const entry = this.entries.get(view.upstreamId);
    if (entry && entry.bucket === bucket) {
      this.entries.set(view.upstreamId, { ...entry, view });
      return;
    }
    this.remove(view.upstreamId);
    this.entries.set(view.upstreamId, { view, bucket, position: bucket.length });
    bucket.push(view.upstreamId);
  }

  remove(upstreamId: UpstreamId): void {
    const entry = this.entries.get(upstreamId);
    if (!entry) return;
    this.entries.delete(upstreamId);
    const last = entry.bucket.pop()!;
    if (last === upstreamId) return;
    entry.bucket[entry.position] = last;
    this.entries.set(last, { ...this.entries.get(last)!, position: entry.position });
  }

  /**
   * Picks upstreams with the shortest queues, starting at a random position within each bucket.
   *
   * @param accept returns whether an upstream may be picked
   */
  pickLeastLoaded(
    model: ModelId | undefined,
    count: number,
    random: RandomGenerator,
    accept: (view: UpstreamView) => boolean,
  ): UpstreamView[] {
    const picked: UpstreamView[] = [];
    for (const bucket of this.bucketsByModel.get(model)?.slice(0, QUEUE_TIME_BUCKET_COUNT) ?? []) {
      const start = bucket.length > 1 ? uniformInt(random, 0, bucket.length - 1) : 0;
      for (let step = 0; step < bucket.length && picked.length < count; step += 1) {
        const { view } = this.entries.get(bucket[(start + step) % bucket.length]!)!;
        if (accept(view)) picked.push(view);
      }
      if (picked.length >= count) break;
    }
    return picked;
  }

  private getBucket(view: UpstreamView): UpstreamId[] {
    let buckets = this.bucketsByModel.get(view.model);
    if (!buckets) {
      // The last bucket holds ineligible upstreams and is never searched.
      buckets = Array.from({ length: QUEUE_TIME_BUCKET_COUNT + 1 }, () => []);
      this.bucketsByModel.set(view.model, buckets);
    }
    return buckets[
      view.eligible ? computeBucketIndex(estimateQueueMs(view)) : QUEUE_TIME_BUCKET_COUNT
    ]!;
  }
}
