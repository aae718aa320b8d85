/** Maximum size of a request body before the configuration is known. */
export const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Delay of a record of begun streams, which batches them; a VM that is lost takes those with it. */
export const STREAM_RECORD_DELAY_MS = 200;

/** Time after which a begun stream that the log does not know is looked up once more. */
export const STREAM_LOOKUP_DELAY_MS = 300;

/** Delay of records while the log does not take them. */
export const STREAM_RECORD_RETRY_MS = 1_000;

/** Longest time for which a caller waits until the log tells which version began its stream. */
export const STREAM_LOOKUP_TIMEOUT_MS = 500;

/** Maximum number of streams in one record; the next record takes the rest. */
export const MAX_STREAMS_PER_RECORD = 2_000;

/** Maximum number of records that a relay keeps while the log does not take them. */
export const MAX_PENDING_STREAM_RECORDS = 1_000;

/** Maximum size of these records together; a follower may send one of a megabyte. */
export const MAX_PENDING_STREAM_BYTES = 8 * 1024 * 1024;

/** Time after which a read of the begun streams ends, however much the log has left. */
export const MAX_STREAM_READ_MS = 10_000;

/** Maximum number of times that one read of the begun streams starts anew, at another offset or era. */
export const MAX_STREAM_READ_RESTARTS = 4;

/** Minimum retry-after when no upstream has capacity. */
export const NO_CAPACITY_RETRY_AFTER_MS = 400;

export const UPSTREAM_CONNECT_TIMEOUT_MS = 800;

/** Idle time after which a connection to an upstream is not reused. */
export const MAX_CONNECTION_IDLE_MS = 8_000;

/** A connection is not reused this long before the upstream's own keep-alive timeout. */
export const KEEP_ALIVE_MARGIN_MS = 400;

/** Fraction of an upstream's connection limit that the fleet uses. */
export const CONNECTION_LIMIT_FRACTION = 0.9;

/** Maximum size of a response that is buffered until it is complete. */
export const MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024;

/** Maximum size of the body of a response; a longer one is taken for one without end. */
export const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/** Bytes of responses that are passed on within a span until large reads take turns: one read of a connection. */
export const RELAY_TURN_BYTES = 64 * 1024;

/** That span, in milliseconds: a short turn of the event loop. */
export const RELAY_TURN_MS = 5;

/** Size of a read from which its response waits for others; events of sound streams are smaller. */
export const MIN_WAITING_READ_BYTES = 16 * 1024;

/** Maximum size of one event of a stream. */
export const MAX_EVENT_BYTES = 1024 * 1024;

/** Maximum number of bytes that an upstream may send before the head of a response, informational heads included. */
export const MAX_BYTES_BEFORE_HEAD = 256 * 1024;

/** Maximum number of informational responses (1xx) before a response. */
export const MAX_INFORMATIONAL_RESPONSES = 8;

/**
 * Sends beyond the route's limit that may arrive at an upstream. The limit itself counts those that may
 * have been executed; a send that never left this VM counts for neither.
 */
export const MAX_UNEXECUTED_EXTRA_ATTEMPTS = 2;

/**
 * A fetch may take this multiple of the time to recompute the part, because recomputation also
 * takes engine time from other requests.
 */
export const MAX_FETCH_PREFILL_RATIO = 3;

/**
 * Fraction of the latency objective for which a fetch may wait in addition, because a late response
 * costs less than recomputing a part.
 */
export const FETCH_WAIT_OBJECTIVE_FRACTION = 0.4;

/** Pause between the loss of a connection and the check whether its upstream has ended. */
export const END_PROBE_DELAY_MS = 5;

/** Time after which the check gets no answer from the upstream and goes by the registry. */
export const END_PROBE_TIMEOUT_MS = 300;

/** Interval at which the registry is checked for the end of an upstream. */
export const REGISTRY_END_POLL_MS = 200;

/** Time for which the registry is checked; three heartbeats and a read of the log. */
export const REGISTRY_END_TIMEOUT_MS = 6_000;

/** Fraction of the latency objective for which a request may wait for a permit under a rate limit. */
export const RATE_WAIT_OBJECTIVE_FRACTION = 1 / 8;

/** Interval at which a request that waits for room at an upstream looks for it, in milliseconds. */
export const ROOM_POLL_MS = 10;

/** Longest such wait. */
export const MAX_RATE_WAIT_MS = 100;

/** Maximum number of permits that are requested during one request. */
export const MAX_PERMIT_REQUESTS = 6;

/** Maximum number of times that a request is withheld right before it is sent, and chosen for anew. */
export const MAX_WITHHELD_SENDS = 6;

/** Longest wait of a control call for one permit. */
export const CONTROL_RATE_WAIT_MS = 400;

/** Pause before an upstream that refused a request gets another one. */
export const UPSTREAM_REFUSAL_BACKOFF_MS = 150;

/** Long-poll timeout for operator records. */
export const OPERATOR_POLL_MS = 1_600;

/** Polling interval for upstream records. */
export const UPSTREAM_READ_INTERVAL_MS = 800;

/** Interval at which entry VMs write and read heartbeats. */
export const HEARTBEAT_INTERVAL_MS = 1_400;

/** Longest time for which the first heartbeat waits until the VM can serve. */
export const FIRST_HEARTBEAT_DELAY_MS = 200;

/** Gossip interval of a small fleet. */
export const GOSSIP_INTERVAL_MS = 100;

/** Tokens to prefill from which a prompt is gossiped early; they take some tens of milliseconds. */
export const EARLY_GOSSIP_MIN_TOKENS = 800;

/** Delay of early gossip, which batches prompts sent at about the same time. */
export const EARLY_GOSSIP_DELAY_MS = 1;

/** Delay of a report of crashes to all VMs, which batches those of the same end. */
export const CRASH_REPORT_DELAY_MS = 5;

/** Minimum interval between such reports of one VM. */
export const CRASH_REPORT_INTERVAL_MS = 300;

/** Number of peers up to which the gossip interval applies; it grows in proportion with more peers. */
export const GOSSIP_BASE_PEER_COUNT = 10;

/** Maximum number of sent prompt parts in an aggregate, so that it fits into a datagram. */
export const MAX_FORWARDED_PARTS = 1_000;

/** Age at which a peer's load figures expire. */
export const PEER_LOAD_TTL_MS = 1_500;

/** Gossip interval of a fleet with relays. */
export const RELAYED_GOSSIP_INTERVAL_MS = 200;

/** Time without messages after which the next relay of a zone takes over: three gossip intervals. */
export const RELAY_FAILOVER_MS = 650;

/** Interval at which followers request the read positions of their relay. */
export const POSITION_POLL_INTERVAL_MS = 450;

/** Time without data after which followers disconnect from a relay: three position requests. */
export const FEED_TIMEOUT_MS = 1_400;

/**
 * Age of a relay's newest proof from which followers write their heartbeats themselves, so that these
 * are written before they expire.
 */
export const RELAY_STALE_MS = 1_300;

/** Age of a relay's newest proof from which a follower that reads the log itself leaves it. */
export const RELAY_CUT_OFF_MS = 2_000;

/** Delay before reconnecting to a relay whose connection was lost. */
export const RELAY_RETRY_DELAY_MS = 3_000;

/** Time without gossip after which a relay stops writing a follower's heartbeats. */
export const FOLLOWER_TIMEOUT_MS = 1_000;

/** Maximum send backlog of a slow follower before it is disconnected. */
export const MAX_FOLLOWER_BACKLOG_BYTES = 8 * 1024 * 1024;

/** Send backlog of a follower up to which it gets more of the block stores' contents. */
export const MAX_SNAPSHOT_BACKLOG_BYTES = 1024 * 1024;

/** Interval at which a snapshot waits until others have read what they were sent. */
export const UNSENT_WAIT_MS = 50;

/** Time for which a relay takes no more followers than have stayed when its link was full. */
export const FOLLOWER_LIMIT_TTL_MS = 10_000;

/** Time for which messages to followers are batched. */
export const FEED_BATCH_DELAY_MS = 80;

/** Interval at which a VM that reads no stores checks whether it must. */
export const STORE_READER_CHECK_INTERVAL_MS = 1_000;

/** Long-poll timeout of a relay for operator records. */
export const RELAY_OPERATOR_POLL_MS = 700;

/** Time after the first start of a fleet until its VMs have discovered each other. */
export const FIRST_START_DISCOVERY_MS = 4_000;

/** Time after the log came back from a copy until what the copy lacks has been written again. */
export const ERA_SETTLE_MS = 3_000;

/** Minimum interval between the beginnings of two reads of a topic of the log. */
export const MIN_READ_INTERVAL_MS = 100;

/** Delay after a failed call to the log or a block store. */
export const LOG_RETRY_DELAY_MS = 250;

/** Iteration interval of a rollout. */
export const ROLLOUT_ACTIVE_INTERVAL_MS = 120;

/** Interval of checks for outdated engines without a rollout; new wanted weights trigger one at once. */
export const ROLLOUT_IDLE_INTERVAL_MS = 600;

/** Number of VMs, in takeover order, that watch the rollout lease. */
export const LEASE_WATCHER_COUNT = 3;

/** Time without progress after which the next VM takes over a rollout. */
export const ROLLOUT_TAKEOVER_DELAY_MS = 1_500;

/** Interval at which the watching VMs read the rollout lease. */
export const LEASE_WATCH_INTERVAL_MS = 600;

/** Time without new requests before an engine is ordered to load; gossip informs the other VMs at once. */
export const LOAD_DRAIN_DELAY_MS = 100;

/** Assumed duration of a load before the first one has been measured. */
export const INITIAL_LOAD_ESTIMATE_MS = 700;

/** Fraction of the last load's duration after which a load is polled for the first time. */
export const FIRST_LOAD_POLL_FRACTION = 0.97;

/** Polling interval for the end of a load. */
export const LOAD_POLL_INTERVAL_MS = 50;

export const WEIGHT_LOAD_TIMEOUT_MS = 4_000;

/** Pause after events of a block store, so that the next read returns a larger batch. */
export const BLOCK_EVENTS_BATCH_DELAY_MS = 300;

/** Longest delay after failed reads of a block store that follow each other. */
export const MAX_STORE_RETRY_DELAY_MS = 2_000;

/** Time for which a block store that lists more than it holds is neither read nor used. */
export const FAULTY_STORE_PAUSE_MS = 10_000;

/** Long-poll timeout for the events of a block store. */
export const BLOCK_EVENTS_LONG_POLL_MS = 900;

/** Time for which callers may cache a directory response. */
export const DIRECTORY_TTL_MS = 1_000;

/** Fraction of the shutdown period after which new requests are refused; callers know other VMs by then. */
export const SHUTDOWN_REFUSE_FRACTION = 0.35;

/** Fraction of the shutdown period after which the process exits, even if requests are still open. */
export const SHUTDOWN_EXIT_FRACTION = 0.94;
