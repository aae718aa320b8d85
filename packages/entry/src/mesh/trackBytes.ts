import type { Socket } from 'node:net';

/** The bytes of a socket while they are counted. */
export interface ByteTracking {
  stop(): void;
}

/** Calls back once when more than a number of bytes has been read from a socket. */
export const trackBytes = (
  socket: Socket,
  maxBytes: number,
  onExceeded: () => void,
): ByteTracking => {
  let bytes = 0;
  const count = (chunk: Buffer): void => {
    bytes += chunk.length;
    if (bytes <= maxBytes) return;
    socket.off('data', count);
    onExceeded();
  };
  socket.on('data', count);
  return {
    stop() {
      socket.off('data', count);
    },
  };
};
