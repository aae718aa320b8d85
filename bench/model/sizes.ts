/** Sizes of the modelled site; those of today. */

/** Engines by availability zone. */
export const ENGINE_ZONES = ['a', 'a', 'a', 'b', 'b', 'b', 'c', 'c'] as const;

/** Store VMs by availability zone. */
export const STORE_ZONES = ['a', 'b'] as const;

/** Entry VMs, each with its own router and its own view of the load. */
export const ENTRIES = 7;

/** Bytes of KV cache a token (64 layers, 8 KV heads of 128, 8-bit keys and values). */
export const KV_BYTES_PER_TOKEN = 131_072;

/** Blocks in the accelerator memory of one engine, about 40 GB. */
export const ENGINE_CACHE_BLOCKS = 300;

export const PREFILL_TOKENS_PER_SECOND = 3000;
export const PREFILL_OVERHEAD_MS = 30;
export const DECODE_TOKENS_PER_SECOND = 40;
export const MAX_CONCURRENT = 8;
export const COLD_CONCURRENT = 2;
export const COLD_COMPLETIONS = 8;

/** Link of one store VM, 10 Gbit/s. */
export const STORE_LINK_BYTES_PER_SECOND = 1.25e9;

/** 64 GB of memory and 2 TB of disk. */
export const STORE_CAPACITY_BYTES = 64e9 + 2e12;

/** Share of a store VM's blocks that its memory holds; a restart loses them. */
export const STORE_MEMORY_BYTES = 64e9;

export const LOAD_REPORT_MS = 500;
export const LOAD_LAG_MS = 250;
export const EVENT_POLL_MS = 500;
export const EVENT_LAG_MS = 1000;

/** Share of cache events that one answer leaves out. */
export const EVENT_DROP_SHARE = 0.01;

/** Share of cache events that one answer brings again. */
export const EVENT_REPEAT_SHARE = 0.02;

/** Way from a caller over an entry VM to an engine, in milliseconds. */
export const NETWORK_MS = 4;

export const EXPORT_POLL_MS = 100;

/** Time simulated before anything is measured. */
export const WARM_MS = 4 * 3_600_000;

/** Time measured. */
export const MEASURED_MS = 4 * 3_600_000;
