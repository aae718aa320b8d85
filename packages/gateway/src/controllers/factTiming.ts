/**
 * How the time is split from the moment at which the log accepts a record until a follower of a
 * relay acts on it. All ages count from the moment of a proof, never from its arrival.
 */
export interface FactTiming {
  /** Longest time until the last request that is sent without the record, in milliseconds. */
  readonly boundMs: number;
  /** Age of the newest proof up to which a follower relies on its relay, in milliseconds. */
  readonly maxProofAgeMs: number;
  /** Span before that age over which the followers begin to read the log, in milliseconds. */
  readonly readSpreadMs: number;
  /** Time that a follower's own read may take, in milliseconds. */
  readonly readMs: number;
  /** Time from the last check of a request until it reaches its upstream, in milliseconds. */
  readonly sendMs: number;
}

const READ_SPREAD_MS = 250;

const READ_MS = 250;

const SEND_MS = 100;

const COMMON_TIMING = { readSpreadMs: READ_SPREAD_MS, readMs: READ_MS, sendMs: SEND_MS };

/** Upstreams that drain or are gone: the shortest time for which they go on serving. */
export const UPSTREAM_FACT_TIMING: FactTiming = {
  ...COMMON_TIMING,
  boundMs: 2_000,
  maxProofAgeMs: 1_600,
};

/** Configuration, wanted weights and zones out of service: the shortest of their bounds. */
export const OPERATOR_FACT_TIMING: FactTiming = {
  ...COMMON_TIMING,
  boundMs: 2_000,
  maxProofAgeMs: 1_500,
};

/**
 * Heartbeats of entry VMs. The directory may name a lost VM for 6 s, and does for 3.4 s after its
 * last heartbeat has been read.
 */
export const ENTRY_FACT_TIMING: FactTiming = {
  ...COMMON_TIMING,
  boundMs: 2_600,
  maxProofAgeMs: 2_250,
};
