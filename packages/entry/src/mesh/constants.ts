/** Maximum size of a message between two VMs, in bytes. */
export const MAX_MESSAGE_BYTES = 1_048_576;

/** Maximum number of parts in which a message between two VMs may come, as chunks or fragments. */
export const MAX_MESSAGE_PARTS = 4_096;

/** Limits of a message on a connection. */
export const MESSAGE_LIMITS = {
  perMessageDeflate: false,
  maxPayload: MAX_MESSAGE_BYTES,
  maxBufferedChunks: MAX_MESSAGE_PARTS,
  maxFragments: MAX_MESSAGE_PARTS,
} as const;

/** Maximum size of a handshake message, which comes from an unauthenticated peer, in bytes. */
export const MAX_HANDSHAKE_MESSAGE_BYTES = 1_024;

/** Maximum number of bytes that a listener reads of an unauthenticated peer after the upgrade. */
export const MAX_HANDSHAKE_BYTES = 2_048;

/** Maximum number of connections at the port of the mesh. */
export const MAX_CONNECTIONS = 2_048;

/** Timeout of the WebSocket upgrade, and of the handshake that follows it, in milliseconds. */
export const HANDSHAKE_TIMEOUT_MS = 2_000;

/** Maximum number of inbound connections with an incomplete handshake. */
export const MAX_PENDING_HANDSHAKES = 256;

export const HANDSHAKE_NONCE_BYTES = 32;

export const MIN_MESH_SECRET_BYTES = 32;

/** Send buffer size of a socket above which messages to that peer are rejected, in bytes. */
export const MAX_SEND_BUFFER_BYTES = 4_194_304;

/** Maximum number of requests to one peer that await a reply. */
export const MAX_PENDING_REQUESTS_PER_PEER = 4_096;

/** Maximum number of requests from one peer that are handled concurrently. */
export const MAX_CONCURRENT_REQUESTS_PER_PEER = 4_096;

/** Request timeout if the caller specifies none, in milliseconds. */
export const DEFAULT_REQUEST_TIMEOUT_MS = 2_000;

/** Initial upper bound of the reconnect delay, before jitter, in milliseconds. */
export const INITIAL_RECONNECT_DELAY_MS = 100;

export const MAX_RECONNECT_DELAY_MS = 5_000;

/** Interval of keep-alive pings, in milliseconds; a peer that misses one is disconnected. */
export const KEEP_ALIVE_INTERVAL_MS = 15_000;

/** Idle time after which an on-demand connection is closed, in milliseconds. */
export const CONNECTION_IDLE_TIMEOUT_MS = 60_000;

/** Maximum length of an error message sent to a peer, in characters. */
export const MAX_ERROR_TEXT_LENGTH = 200;
