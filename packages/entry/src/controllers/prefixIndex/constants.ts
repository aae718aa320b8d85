/** Poll interval of an engine's cache events, in milliseconds. */
export const CACHE_EVENT_POLL_INTERVAL_MS = 500;
