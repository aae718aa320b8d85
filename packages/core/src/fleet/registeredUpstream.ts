import type { AvailabilityZoneId, ModelId, ServiceName, UpstreamId, WeightNumber } from '../ids.js';

/** Weights of one model that an engine runs on. */
export interface HeldWeights {
  readonly model: ModelId;
  readonly held: WeightNumber;
}

/** What an upstream says of itself in the registry. */
export interface RegisteredUpstream {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceName;
  /** HOST:PORT. */
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly draining: boolean;
  /** How long it stays cold after it wrote this, in milliseconds. */
  readonly coldRemainingMs: number;
  readonly weights: readonly HeldWeights[];
  /** Counts its heartbeats since its start. */
  readonly heartbeat: number;
  /** Start of this run by the upstream's own clock, in Unix milliseconds; 0 where it does not say. */
  readonly startedAtMs: number;
}
