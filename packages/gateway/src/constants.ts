/** Largest body before the configuration is known, in bytes. */
export const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

/** When to come back while no configuration is known, in milliseconds: about one read of the log. */
export const NO_CONFIGURATION_RETRY_AFTER_MS = 500;

/** When to come back where every upstream is busy or out for a moment, in milliseconds. */
export const NO_CAPACITY_RETRY_AFTER_MS = 400;

/** Longest wait for a connection to an upstream, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 800;

/** Age at which an idle connection is no longer used, in milliseconds. */
export const MAX_CONNECTION_IDLE_MS = 8_000;

/** Time before an upstream's own idle limit at which a connection is no longer used, in milliseconds. */
export const KEEP_ALIVE_MARGIN_MS = 400;

/** Part of an upstream's connection limit that the fleet uses. */
export const CONNECTION_SHARE = 0.9;

/** Largest answer that is held until it is whole, in bytes. */
export const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Sends of one request beyond its route's bound that may follow proofs that it has not run. */
export const MAX_EXTRA_ATTEMPTS = 2;

/** Reads whose time a fetch may take: a part that is read again also takes the engine's time from others. */
export const MAX_FETCH_PREFILL_RATIO = 3;

/** Part of the objective for which a fetch may wait beside that: a late answer costs less than a part read again. */
export const FETCH_WAIT_OBJECTIVE_SHARE = 0.4;

/** Time for which an upstream that refused a request gets no other, in milliseconds. */
export const REFUSAL_BACKOFF_MS = 150;

/** Time that one long read of the operators' records waits, in milliseconds. */
export const OPERATOR_POLL_MS = 1_600;

/** Interval at which the upstreams' records are read, in milliseconds. */
export const UPSTREAM_READ_INTERVAL_MS = 800;

/** Interval at which entry VMs write and read heartbeats, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1_400;

/** Interval at which entry VMs tell each other what they have in flight, in milliseconds. */
export const GOSSIP_INTERVAL_MS = 100;

/** Prompt tokens to read from which the others are told at once: some tens of milliseconds. */
export const EARLY_GOSSIP_MIN_TOKENS = 800;

/** Time within which prompts are told together, in milliseconds. */
export const EARLY_GOSSIP_DELAY_MS = 1;

/** Peers that are told at that interval; with more of them it grows in proportion. */
export const GOSSIP_BASE_PEER_COUNT = 10;

/** Age at which a peer's figures no longer count, in milliseconds. */
export const GOSSIP_MAX_AGE_MS = 1_500;

/** Interval at which VMs of a fleet with relays tell what they have in flight, in milliseconds. */
export const RELAYED_GOSSIP_INTERVAL_MS = 200;

/** Silence after which the next relay of a zone takes over, in milliseconds: three messages. */
export const RELAY_FAILOVER_MS = 650;

/** Interval at which followers ask their relay how far it has read, in milliseconds. */
export const POSITION_POLL_MS = 450;

/** Silence of a relay after which its followers leave it, in milliseconds: three questions. */
export const FEED_TIMEOUT_MS = 1_400;

/** Time for which a relay that was lost is not asked again, in milliseconds. */
export const RELAY_RETRY_DELAY_MS = 3_000;

/** Silence from which a follower's heartbeat is written no more, in milliseconds. */
export const FOLLOWER_TIMEOUT_MS = 1_000;

/** Bytes that may wait for a slow follower before it is dropped. */
export const MAX_FOLLOWER_BACKLOG_BYTES = 8 * 1024 * 1024;

/** Time for which a relay's position keeps a follower from reading by itself, in milliseconds. */
export const RELAY_SYNC_TTL_MS = 1_100;

/** Age from which a relay's own reading is too old to rely on, in milliseconds. */
export const MAX_RELAY_LAG_MS = 1_200;

/** Least time after which a follower looks again whether it has to read by itself, in milliseconds. */
export const MIN_RELAY_CHECK_INTERVAL_MS = 150;

/** Time for which what is read is collected before followers are told, in milliseconds. */
export const FEED_BATCH_DELAY_MS = 80;

/** Interval at which a VM that asks no store looks whether it has to, in milliseconds. */
export const STORE_READER_CHECK_INTERVAL_MS = 1_000;

/** Time that one long read of the operators' records waits at a relay, in milliseconds. */
export const RELAY_OPERATOR_POLL_MS = 700;

/** Time after the first start of a fleet until its VMs know of each other, in milliseconds. */
export const FIRST_START_MS = 4_000;

/** Pause after a failed call of the log, in milliseconds. */
export const LOG_RETRY_DELAY_MS = 250;

/** Interval at which a change of weights is driven, in milliseconds. */
export const ROLLOUT_ACTIVE_INTERVAL_MS = 120;

/** Interval at which engines are looked for that are behind, in milliseconds; a change wakes sooner. */
export const ROLLOUT_IDLE_INTERVAL_MS = 600;

/** VMs, in the order in which they would take over, that watch who gives orders. */
export const LEASE_WATCHER_COUNT = 3;

/** Time after which the next VM takes over a change of weights that does not move on, in milliseconds. */
export const ROLLOUT_TAKEOVER_DELAY_MS = 1_500;

/** Interval at which VMs that give no orders look who holds the lease, in milliseconds. */
export const LEASE_WATCH_INTERVAL_MS = 600;

/** Time for which an engine gets no new request before its order, in milliseconds: others are told at once. */
export const LOAD_DRAIN_DELAY_MS = 100;

/** Time after an order from which its end is asked for at first, in milliseconds. */
export const INITIAL_LOAD_ESTIMATE_MS = 700;

/** Part of the time that the last load took after which the next one is asked for. */
export const LOAD_FIRST_POLL_SHARE = 0.97;

/** Interval of checks for the end of a load, in milliseconds. */
export const LOAD_POLL_INTERVAL_MS = 50;

/** Longest time that one load is followed, in milliseconds. */
export const LOAD_TIMEOUT_MS = 4_000;

/** Age of newer weights from which older ones serve no request any more, as a share of the bound. */
export const OUTDATED_WEIGHTS_CUTOFF_SHARE = 0.85;

/** Time after events of a store in which more are collected before the next read, in milliseconds. */
export const BLOCK_EVENTS_BATCH_DELAY_MS = 300;

/** Time that one read of a store's events waits, in milliseconds. */
export const BLOCK_EVENTS_LONG_POLL_MS = 900;

/** Time for which callers keep an answer of the directory, in milliseconds. */
export const DIRECTORY_TTL_MS = 1_000;

/** Part of the shutdown time after which new requests are refused: callers know the new addresses. */
export const SHUTDOWN_REFUSE_SHARE = 0.35;

/** Part of the shutdown time at which the process ends, whatever still runs. */
export const SHUTDOWN_EXIT_SHARE = 0.94;
