/** Parameters of the simulated site, at its current size. */

/** Engines by availability zone. */
export const ENGINE_ZONES = ['a', 'a', 'a', 'b', 'b', 'b', 'c', 'c'] as const;

/** Store VMs by availability zone. */
export const STORE_ZONES = ['a', 'b'] as const;

/** Number of entry VMs; each has its own router and view of the load. */
export const ENTRY_COUNT = 7;

/** KV cache bytes per token (64 layers, 8 KV heads of size 128, 8-bit keys and values). */
export const KV_BYTES_PER_TOKEN = 131_072;

/** Cache capacity of one engine in blocks; about 40 GB of accelerator memory. */
export const ENGINE_CACHE_BLOCKS = 300;

export const PREFILL_TOKENS_PER_SECOND = 3000;
export const PREFILL_OVERHEAD_MS = 30;
export const DECODE_TOKENS_PER_SECOND = 40;
export const MAX_CONCURRENT_REQUESTS = 8;
export const COLD_CONCURRENT_REQUESTS = 2;
export const WARM_UP_COMPLETIONS = 8;

/** Link rate of one store VM (10 Gbit/s). */
export const STORE_LINK_BYTES_PER_SECOND = 1.25e9;

/** Capacity of one store VM (64 GB of memory and 2 TB of disk). */
export const STORE_CAPACITY_BYTES = 64e9 + 2e12;

/** Memory of one store VM; the newest blocks are kept there and are lost on restart. */
export const STORE_MEMORY_BYTES = 64e9;

export const LOAD_REPORT_INTERVAL_MS = 500;
export const LOAD_LAG_MS = 250;
export const EVENT_POLL_INTERVAL_MS = 500;
export const EVENT_LAG_MS = 1000;

/** Probability that a cache event is missing from a poll response. */
export const EVENT_DROP_PROBABILITY = 0.01;

/** Probability that a poll response repeats earlier events. */
export const EVENT_REPEAT_PROBABILITY = 0.02;

/** Network latency from a caller via an entry VM to an engine, in milliseconds. */
export const NETWORK_LATENCY_MS = 4;

export const EXPORT_POLL_INTERVAL_MS = 100;

/** Simulated time before the measurement starts. */
export const WARM_UP_MS = 4 * 3_600_000;

/** Simulated time of the measurement. */
export const MEASUREMENT_MS = 4 * 3_600_000;
