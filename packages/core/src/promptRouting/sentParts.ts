import type { UpstreamId } from '../ids.js';
import { hashString } from '../membership/rendezvous.js';
import {
  MAX_ANNOUNCED_PARTS,
  MAX_TRACKED_PARTS,
  MAX_TRACKED_SENDS,
  SENT_PART_TTL_MS,
} from './constants.js';

/** A prompt part and the upstream that a VM has sent it to. */
export interface SentPart {
  /** Hash of the part's key. */
  readonly hash: number;
  readonly upstreamId: UpstreamId;
}

/**
 * Tracks the upstreams that prompt parts were recently sent to, by any VM. A part is cached there,
 * or being prefilled, and does not need to be prefilled again.
 */
export class SentParts {
  private readonly sentAtMsByPart = new Map<number, Map<UpstreamId, number>>();

  /** Number of pairs of a part and an upstream. */
  private trackedSends = 0;

  private unannounced: SentPart[] = [];

  /** @param key cache key of the part, including the salt that isolates its cached blocks */
  recordSent(key: string, upstreamId: UpstreamId): void {
    const part = { hash: hashString(key), upstreamId };
    this.recordPart(part);
    if (this.unannounced.length < MAX_ANNOUNCED_PARTS) this.unannounced.push(part);
  }

  /** Forgets that a part was sent to an upstream, which has failed the prompt. */
  dropSent(key: string, upstreamId: UpstreamId): void {
    const hash = hashString(key);
    const sentAtMsByUpstream = this.sentAtMsByPart.get(hash);
    if (!sentAtMsByUpstream?.delete(upstreamId)) return;
    this.trackedSends -= 1;
    if (sentAtMsByUpstream.size === 0) this.sentAtMsByPart.delete(hash);
    this.unannounced = this.unannounced.filter(
      (part) => part.hash !== hash || part.upstreamId !== upstreamId,
    );
  }

  /** Records a part announced by another VM. */
  recordPart({ hash, upstreamId }: SentPart): void {
    const sentAtMsByUpstream = this.sentAtMsByPart.get(hash) ?? new Map<UpstreamId, number>();
    if (!sentAtMsByUpstream.has(upstreamId)) this.trackedSends += 1;
    // Reinsertion keeps the map in LRU order.
    this.sentAtMsByPart.delete(hash);
    this.sentAtMsByPart.set(hash, sentAtMsByUpstream.set(upstreamId, performance.now()));
    if (this.sentAtMsByPart.size > MAX_TRACKED_PARTS || this.trackedSends > MAX_TRACKED_SENDS) {
      this.evictOldest();
    }
  }

  has(key: string, upstreamId: UpstreamId): boolean {
    const sentAtMs = this.sentAtMsByPart.get(hashString(key))?.get(upstreamId);
    return sentAtMs !== undefined && performance.now() - sentAtMs < SENT_PART_TTL_MS;
  }

  /** Returns the parts that this VM has sent since the last call. */
  takeUnannounced(): readonly SentPart[] {
    const { unannounced } = this;
    this.unannounced = [];
    return unannounced;
  }

  private evictOldest(): void {
    const [oldest] = this.sentAtMsByPart;
    if (!oldest) return;
    const [hash, sentAtMsByUpstream] = oldest;
    this.sentAtMsByPart.delete(hash);
    this.trackedSends -= sentAtMsByUpstream.size;
  }
}
