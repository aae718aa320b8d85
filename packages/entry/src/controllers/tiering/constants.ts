/** Poll interval of a store VM's manifest, in milliseconds. */
export const MANIFEST_POLL_INTERVAL_MS = 2_000;

/** Interval at which planned exports are started, in milliseconds. */
export const EXPORT_INTERVAL_MS = 200;

/** Maximum time for which a request waits for its imports, in milliseconds. */
export const IMPORT_TIMEOUT_MS = 10_000;

export const EXPORT_TIMEOUT_MS = 30_000;

/** Assumed KV-cache size per token until the first export is measured, in bytes. */
export const INITIAL_KV_BYTES_PER_TOKEN = 64;
