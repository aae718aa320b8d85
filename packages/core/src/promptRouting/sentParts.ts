import type { UpstreamId } from '../ids.js';
import { hashText } from '../membership/rendezvous.js';
import { SENT_MEMORY_MS, SENT_MEMORY_PARTS, SENT_NEWS_PARTS } from './constants.js';

/** A prompt part and the upstream to which some VM has sent it. */
export interface SentPart {
  /** Hash of the part's key. */
  readonly hash: number;
  readonly upstreamId: UpstreamId;
}

/**
 * Remembers to which upstreams the VMs have sent a prompt part lately: it is cached there, or
 * being read, and needs no second read.
 */
export class SentParts {
  private readonly sent = new Map<number, Map<UpstreamId, number>>();

  private news: SentPart[] = [];

  /** @param key names the part and all that keeps its cached blocks apart */
  note(key: string, upstreamId: UpstreamId): void {
    const part = { hash: hashText(key), upstreamId };
    this.notePart(part);
    if (this.news.length < SENT_NEWS_PARTS) this.news.push(part);
  }

  /** Notes what another VM has told. */
  notePart({ hash, upstreamId }: SentPart): void {
    const places = this.sent.get(hash) ?? new Map<UpstreamId, number>();
    // Put in anew, so that the map's order is the order of use.
    this.sent.delete(hash);
    this.sent.set(hash, places.set(upstreamId, performance.now()));
    if (this.sent.size > SENT_MEMORY_PARTS) this.sent.delete(this.sent.keys().next().value!);
  }

  has(key: string, upstreamId: UpstreamId): boolean {
    const atMs = this.sent.get(hashText(key))?.get(upstreamId);
    return atMs !== undefined && performance.now() - atMs < SENT_MEMORY_MS;
  }

  /** Gives what this VM has sent since the last call. */
  takeNews(): readonly SentPart[] {
    const { news } = this;
    this.news = [];
    return news;
  }
}
