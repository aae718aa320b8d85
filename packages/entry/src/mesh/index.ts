/** Authenticated messaging between entry VMs. */
export type { PeerIdentity } from './authentication.js';
export { encodeFrame } from './frames.js';
export type { Frame } from './frames.js';
export { createMesh } from './mesh.js';
export type { Mesh, MeshLogger, MeshOptions } from './mesh.js';
export { MemoryNetwork } from './memoryNetwork.js';
export type { MemoryNetworkOptions } from './memoryNetwork.js';
export { MeshError } from './meshError.js';
export type { MeshFailure } from './meshError.js';
export type { MeshStats } from './meshStats.js';
export { defineMessage } from './messageType.js';
export type { MessageType } from './messageType.js';
export { PeerTransport } from './peerTransport.js';
export type { MessageContext, MessageHandler, PeerAddress } from './peerTransport.js';
