/** Unrepeatable requests: shards served here, and the guard that filters ask. */
export * from './localPeerLink.js';
export * from './onceController.js';
export * from './peerLink.js';
export * from './unrepeatable.js';
