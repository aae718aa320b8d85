/** Time between two reads of a store VM's manifest, in milliseconds. */
export const MANIFEST_POLL_MS = 2_000;

/** Time between two looks for exports that the links have room for, in milliseconds. */
export const EXPORT_POLL_MS = 200;

/** Longest time that a request waits for its imports, in milliseconds. */
export const IMPORT_TIMEOUT_MS = 10_000;

/** Longest time of an export, in milliseconds. */
export const EXPORT_TIMEOUT_MS = 30_000;

/** Bytes of KV cache a token until the first export shows them. */
export const INITIAL_BYTES_PER_TOKEN = 64;
