import type {
  AvailabilityZoneId,
  ModelId,
  ServiceName,
  SoftwareVersion,
  UpstreamId,
  WeightNumber,
} from '../ids.js';

/** Weights of one model that an engine has loaded. */
export interface LoadedWeights {
  readonly model: ModelId;
  readonly weightNumber: WeightNumber;
}

/** One run of an upstream, from its start to its end. */
export interface UpstreamBoot {
  readonly upstreamId: UpstreamId;
  /** Its start, by its own clock. */
  readonly startedAtMs: number;
}

/** Registry entry of an upstream. */
export interface RegisteredUpstream {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceName;
  /** Address, as HOST:PORT. */
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  readonly draining: boolean;
  /** Remaining cold-start time when the entry was written, in milliseconds. */
  readonly coldRemainingMs: number;
  readonly weights: readonly LoadedWeights[];
  /** Number of heartbeats since the upstream's last boot. */
  readonly heartbeat: number;
  /** Undefined if the entry does not tell. */
  readonly softwareVersion?: SoftwareVersion | undefined;
  /** Time of the last boot by the upstream's clock, in Unix milliseconds; 0 if unknown. */
  readonly startedAtMs: number;
}
