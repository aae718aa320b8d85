import type { AvailabilityZoneId, SentPart } from '@goldcrestscale/core';
import type { GossipMessage } from './gossipMessage.js';

interface ReceivedDigest {
  readonly digest: GossipMessage;
  readonly receivedAtMs: number;
  /** Parts that have not been passed on yet, those of earlier messages included. */
  readonly sent: readonly SentPart[];
}

/** Keeps what the relays of the other zones told last, until it is passed on to the own zone. */
export class ForeignDigests {
  private readonly digests = new Map<AvailabilityZoneId, ReceivedDigest>();

  /** @param maxAgeMs age at which a digest no longer counts, in milliseconds */
  constructor(private readonly maxAgeMs: number) {}

  note(zone: AvailabilityZoneId, digest: GossipMessage): void {
    const sent = [...(this.digests.get(zone)?.sent ?? []), ...digest.sent];
    this.digests.set(zone, { digest, receivedAtMs: performance.now(), sent });
  }

  /** Gives the digests that still count; each part is given once. */
  takeAll(): readonly GossipMessage[] {
    const oldestMs = performance.now() - this.maxAgeMs;
    this.digests.forEach(({ receivedAtMs }, zone) => {
      if (receivedAtMs < oldestMs) this.digests.delete(zone);
    });
    return [...this.digests].map(([zone, received]) => {
      this.digests.set(zone, { ...received, sent: [] });
      return { ...received.digest, sent: received.sent };
    });
  }
}
