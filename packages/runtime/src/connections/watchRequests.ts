import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Callbacks for the connections of a server. */
export interface RequestWatcher {
  /** A request was read on the connection. */
  readonly onBusy: (socket: Socket) => void;
  /** The connection is open, and all of its requests are over. */
  readonly onIdle: (socket: Socket) => void;
}

/** Tells which connections of a server have open requests. */
export const watchRequests = (server: Server, { onBusy, onIdle }: RequestWatcher): void => {
  const openRequests = new WeakMap<Socket, number>();
  server.on('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    onBusy(socket);
    openRequests.set(socket, (openRequests.get(socket) ?? 0) + 1);
    response.once('close', () => {
      const openCount = (openRequests.get(socket) ?? 1) - 1;
      openRequests.set(socket, openCount);
      if (openCount === 0 && !socket.destroyed) onIdle(socket);
    });
  });
};
