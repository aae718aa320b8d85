import type { UpstreamId } from '../ids.js';
import { SENT_MEMORY_MS, SENT_MEMORY_PARTS } from './constants.js';

/** Remembers to which upstreams this VM has sent a prompt part lately. */
export class SentParts {
  private readonly sent = new Map<string, Map<UpstreamId, number>>();

  /** @param key names the part and all that keeps its cached blocks apart */
  note(key: string, upstreamId: UpstreamId): void {
    const places = this.sent.get(key) ?? new Map<UpstreamId, number>();
    // Put in anew, so that the map's order is the order of use.
    this.sent.delete(key);
    this.sent.set(key, places.set(upstreamId, performance.now()));
    if (this.sent.size > SENT_MEMORY_PARTS) this.sent.delete(this.sent.keys().next().value!);
  }

  has(key: string, upstreamId: UpstreamId): boolean {
    const atMs = this.sent.get(key)?.get(upstreamId);
    return atMs !== undefined && performance.now() - atMs < SENT_MEMORY_MS;
  }
}
