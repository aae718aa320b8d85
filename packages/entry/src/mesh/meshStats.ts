/** Counters of the mesh since process start. */
export interface MeshStats {
  authenticationFailures: number;
  connectionsOpened: number;
  connectionsLost: number;
  messagesSent: number;
  messagesReceived: number;
  bytesSent: number;
  bytesReceived: number;
  /** Frames that could not be decoded, and payloads that did not match their schema. */
  malformedMessages: number;
  unknownTypes: number;
  /** Messages rejected because the send buffer was full or the message was too large. */
  refusedSends: number;
}

export const createMeshStats = (): MeshStats => ({
  authenticationFailures: 0,
  connectionsOpened: 0,
  connectionsLost: 0,
  messagesSent: 0,
  messagesReceived: 0,
  bytesSent: 0,
  bytesReceived: 0,
  malformedMessages: 0,
  unknownTypes: 0,
  refusedSends: 0,
});
