/** Counters of the mesh since the start of the process. */
export interface MeshStats {
  authenticationFailures: number;
  connectionsOpened: number;
  connectionsLost: number;
  messagesSent: number;
  messagesReceived: number;
  bytesSent: number;
  bytesReceived: number;
  /** Frames that were not decoded, or whose payload did not match their type. */
  malformedMessages: number;
  unknownTypes: number;
  /** Messages that were not sent since too much was waiting, or since they were too large. */
  refusedSends: number;
}

/** Creates counters at zero. */
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
