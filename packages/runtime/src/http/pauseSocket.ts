import type { Readable } from 'node:stream';

/**
 * Stops reading from a socket, also if the HTTP parser on it asks for more: a paused message would go on
 * taking small parts as objects, many times their bytes.
 *
 * @returns a function that goes on reading
 */
export const pauseSocket = (socket: Readable): (() => void) => {
  const pause = (): void => {
    socket.pause();
  };
  socket.on('resume', pause);
  pause();
  return () => {
    socket.off('resume', pause);
    socket.resume();
  };
};
