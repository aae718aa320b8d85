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
  let isStopped = false;
  const stop = (): void => {
    isStopped = true;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the listener removes itself
    socket.off('data', count);
  };
  const count = (chunk: Buffer): void => {
    bytes += chunk.length;
    // A listener before this one may have stopped the count in the same event.
    if (isStopped || bytes <= maxBytes) return;
    stop();
    onExceeded();
  };
  socket.on('data', count);
  return { stop };
};
