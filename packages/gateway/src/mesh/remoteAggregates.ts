import type { AvailabilityZoneId, SentPart } from '@goldcrestscale/core';
import { MAX_FORWARDED_PARTS } from '../constants.js';
import type { GossipMessage } from './gossipMessage.js';

interface ReceivedAggregate {
  readonly aggregate: GossipMessage;
  readonly receivedAtMs: number;
  /** Sent parts that have not been forwarded yet, including those of earlier messages. */
  readonly sentParts: readonly SentPart[];
}

/** Keeps the newest aggregate of each other zone for forwarding within this VM's zone. */
export class RemoteAggregates {
  private readonly aggregates = new Map<AvailabilityZoneId, ReceivedAggregate>();

  /** @param maxAgeMs age at which an aggregate expires */
  constructor(private readonly maxAgeMs: number) {}

  add(zone: AvailabilityZoneId, aggregate: GossipMessage): void {
    const pendingParts = this.aggregates.get(zone)?.sentParts ?? [];
    const sentParts = [...pendingParts, ...aggregate.sentParts].slice(-MAX_FORWARDED_PARTS);
    this.aggregates.set(zone, { aggregate, receivedAtMs: performance.now(), sentParts });
  }

  /** Returns the aggregates that have not expired; each sent part is returned only once. */
  takeAll(): readonly GossipMessage[] {
    const minReceivedAtMs = performance.now() - this.maxAgeMs;
    this.aggregates.forEach(({ receivedAtMs }, zone) => {
      if (receivedAtMs < minReceivedAtMs) this.aggregates.delete(zone);
    });
    return [...this.aggregates].map(([zone, received]) => {
      this.aggregates.set(zone, { ...received, sentParts: [] });
      return { ...received.aggregate, sentParts: received.sentParts };
    });
  }
}
