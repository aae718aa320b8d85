/** Time between two reads of an engine's cache events, in milliseconds. */
export const EVENT_POLL_MS = 500;
