import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import type { InputBarrier } from '../eventLoop/index.js';

/**
 * Closes connections whose idle timeout ends. After a pause of the process, timers run before the
 * requests that came in it are read, so a connection is closed only if it brings nothing once all
 * input has been read.
 */
export const closeIdleConnections = (server: Server, inputBarrier: InputBarrier): void => {
  server.on('timeout', (socket: Socket) => {
    const { bytesRead } = socket;
    void inputBarrier.run(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  });
};
