/** Largest message between two VMs, in bytes. */
export const MAX_MESSAGE_BYTES = 1_048_576;

/** Largest message of the greeting, before the peer is authenticated, in bytes. */
export const MAX_GREETING_BYTES = 1_024;

/** Time in which a greeting must be complete, in milliseconds. */
export const GREETING_TIMEOUT_MS = 2_000;

/** Most connections whose greeting is not complete. */
export const MAX_PENDING_GREETINGS = 256;

/** Size of a greeting's nonce, in bytes. */
export const NONCE_BYTES = 32;

/** Smallest mesh secret, in bytes. */
export const MIN_SECRET_BYTES = 32;

/** Bytes waiting in a socket above which messages to that peer are refused. */
export const MAX_BUFFERED_BYTES = 4_194_304;

/** Most requests to one peer that wait for a reply. */
export const MAX_PENDING_REQUESTS = 4_096;

/** Most requests of one peer that are being handled. */
export const MAX_HANDLED_REQUESTS = 4_096;

/** Time in which a request must be answered where its caller names none, in milliseconds. */
export const REQUEST_TIMEOUT_MS = 2_000;

/** First delay before a lost connection is opened again, in milliseconds. */
export const RECONNECT_MIN_MS = 100;

/** Longest delay before a lost connection is opened again, in milliseconds. */
export const RECONNECT_MAX_MS = 5_000;

/** Time between two keep-alive pings; a peer that misses one is disconnected, in milliseconds. */
export const KEEP_ALIVE_INTERVAL_MS = 15_000;

/** Time without messages after which an on-demand connection is closed, in milliseconds. */
export const IDLE_CLOSE_MS = 60_000;

/** Longest error text that is passed to a peer, in characters. */
export const MAX_ERROR_TEXT_LENGTH = 200;
