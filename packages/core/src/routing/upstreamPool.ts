import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { ModelId, UpstreamId } from '../ids.js';
import { LOAD_BUCKET_MS, LOAD_BUCKETS } from './constants.js';
import { estimateQueueMs } from './estimate.js';
import type { UpstreamView } from './router.js';

interface PoolPlace {
  readonly view: UpstreamView;
  readonly bucket: UpstreamId[];
  readonly position: number;
}

const computeBucket = (queueMs: number): number =>
  Math.min(LOAD_BUCKETS - 1, Math.floor(Math.log2(1 + queueMs / LOAD_BUCKET_MS)));

/**
 * Upstreams in an order of queue time, coarse and cheap to keep: an update moves one entry from
 * one bucket to another, and the least loaded are found without looking at the rest.
 */
export class UpstreamPool {
  private readonly places = new Map<UpstreamId, PoolPlace>();

  private readonly orders = new Map<ModelId | undefined, UpstreamId[][]>();

  /** Creates a pool of views. */
  static create(views: readonly UpstreamView[]): UpstreamPool {
    const pool = new UpstreamPool();
    views.forEach((view) => pool.update(view));
    return pool;
  }

  get size(): number {
    return this.places.size;
  }

  get(upstreamId: UpstreamId): UpstreamView | undefined {
    return this.places.get(upstreamId)?.view;
  }

  /** Puts in the newest view of an upstream. */
  update(view: UpstreamView): void {
    const bucket = this.getBucket(view);
    const known = this.places.get(view.upstreamId);
    if (known && known.bucket === bucket) {
      this.places.set(view.upstreamId, { ...known, view });
      return;
    }
    this.remove(view.upstreamId);
    this.places.set(view.upstreamId, { view, bucket, position: bucket.length });
    bucket.push(view.upstreamId);
  }

  /** Takes an upstream out. */
  remove(upstreamId: UpstreamId): void {
    const place = this.places.get(upstreamId);
    if (!place) return;
    this.places.delete(upstreamId);
    const last = place.bucket.pop()!;
    if (last === upstreamId) return;
    place.bucket[place.position] = last;
    this.places.set(last, { ...this.places.get(last)!, position: place.position });
  }

  /**
   * Picks upstreams with the shortest queues, by chance among those of one bucket.
   *
   * @param accept tells whether an upstream may be picked
   */
  pickLeastLoaded(
    model: ModelId | undefined,
    count: number,
    random: RandomGenerator,
    accept: (view: UpstreamView) => boolean,
  ): UpstreamView[] {
    const picked: UpstreamView[] = [];
    for (const bucket of this.orders.get(model)?.slice(0, LOAD_BUCKETS) ?? []) {
      const start = bucket.length > 1 ? uniformInt(random, 0, bucket.length - 1) : 0;
      for (let step = 0; step < bucket.length && picked.length < count; step += 1) {
        const { view } = this.places.get(bucket[(start + step) % bucket.length]!)!;
        if (accept(view)) picked.push(view);
      }
      if (picked.length >= count) break;
    }
    return picked;
  }

  private getBucket(view: UpstreamView): UpstreamId[] {
    let order = this.orders.get(view.model);
    if (!order) {
      // One bucket more holds the ineligible ones, out of the way of every search.
      order = Array.from({ length: LOAD_BUCKETS + 1 }, () => []);
      this.orders.set(view.model, order);
    }
    return order[view.eligible ? computeBucket(estimateQueueMs(view)) : LOAD_BUCKETS]!;
  }
}
