/** Largest body before the configuration is known, in bytes. */
export const DEFAULT_BODY_BYTES = 4 * 1024 * 1024;

/** When to come back while no configuration is known, in milliseconds: about one read of the log. */
export const NOT_READY_RETRY_MS = 500;

/** When to come back where every upstream is busy or out for a moment, in milliseconds. */
export const BUSY_RETRY_MS = 400;

/** Longest wait for a connection to an upstream, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 800;

/** Age at which an idle connection is no longer used, in milliseconds. */
export const IDLE_CONNECTION_MS = 8_000;

/** Time before an upstream's own idle limit at which a connection is no longer used, in milliseconds. */
export const IDLE_MARGIN_MS = 400;

/** Part of an upstream's connection limit that the fleet uses. */
export const CONNECTION_SHARE = 0.9;

/** Largest answer that is held until it is whole, in bytes. */
export const MAX_WHOLE_BYTES = 1024 * 1024;

/** Sends of one request beyond its route's bound that may follow proofs that it has not run. */
export const MAX_EXTRA_SENDS = 2;

/** Time beyond which a fetch that takes longer than a read is given up, in milliseconds. */
export const FETCH_SLACK_MS = 60;

/** Time for which an upstream that refused a request gets no other, in milliseconds. */
export const REFUSED_PAUSE_MS = 150;

/** Time that one long read of the operators' records waits, in milliseconds. */
export const OPERATOR_WAIT_MS = 1_600;

/** Interval at which the upstreams' records are read, in milliseconds. */
export const UPSTREAM_READ_MS = 800;

/** Interval at which entry VMs write and read heartbeats, in milliseconds. */
export const ENTRY_HEARTBEAT_MS = 1_400;

/** Interval at which entry VMs tell each other what they have in flight, in milliseconds. */
export const GOSSIP_INTERVAL_MS = 50;

/** Peers that are told at that interval; with more of them it grows in proportion. */
export const GOSSIP_PEERS = 10;

/** Age at which a peer's figures no longer count, in milliseconds. */
export const GOSSIP_MAX_AGE_MS = 1_500;

/** Pause after a failed call of the log, in milliseconds. */
export const LOG_RETRY_MS = 250;

/** Interval at which a change of weights is driven, in milliseconds. */
export const ROLLOUT_TICK_MS = 120;

/** Time after which the next VM takes over a change of weights that does not move on, in milliseconds. */
export const ROLLOUT_TAKEOVER_MS = 1_500;

/** Interval at which VMs that give no orders look who holds the lease, in milliseconds. */
export const LEASE_WATCH_MS = 600;

/** Time for which an engine gets no new request before its order, in milliseconds: two gossips. */
export const LOAD_DRAIN_MS = 100;

/** Time after an order from which its end is asked for at first, in milliseconds. */
export const LOAD_FIRST_CHECK_MS = 700;

/** Part of the time that the last load took after which the next one is asked for. */
export const LOAD_CHECK_SHARE = 0.97;

/** Interval of checks for the end of a load, in milliseconds. */
export const LOAD_CHECK_MS = 50;

/** Longest time that one load is followed, in milliseconds. */
export const LOAD_FOLLOW_MS = 4_000;

/** Age of newer weights from which older ones serve no request any more, as a share of the bound. */
export const OLD_WEIGHTS_SHARE = 0.85;

/** Time that one read of a store's events waits, in milliseconds. */
export const BLOCK_EVENTS_WAIT_MS = 900;

/** Time for which callers keep an answer of the directory, in milliseconds. */
export const DIRECTORY_TTL_MS = 1_000;

/** Part of the shutdown time after which new requests are refused: callers know the new addresses. */
export const REFUSE_SHARE = 0.35;

/** Part of the shutdown time at which the process ends, whatever still runs. */
export const EXIT_SHARE = 0.94;
