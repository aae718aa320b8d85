import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Called once, when a response has been sent or its caller has left before. */
export type RequestOverCallback = (hasLeft: boolean) => void;

/** Presence of the callers of one connection, which may have several requests open. */
class CallerConnection {
  private readonly departCallbacks = new Set<() => void>();

  private hasEnded: boolean;

  constructor(socket: Socket) {
    // The parser may still emit requests that were read together with the end.
    this.hasEnded = socket.destroyed || socket.readableEnded;
    const handleEnd = (): void => this.handleEnd();
    // The end of the input comes some turns before the close, and a half-closed connection has no close.
    socket.once('end', handleEnd);
    socket.once('error', handleEnd);
    socket.once('close', handleEnd);
  }

  /** Tracks a request until its response has been sent or its connection has ended. */
  track(response: ServerResponse, onOver: RequestOverCallback): AbortSignal {
    const controller = new AbortController();
    const handleDeparture = (): void => {
      controller.abort();
      onOver(true);
    };
    if (this.hasEnded) {
      handleDeparture();
      return controller.signal;
    }
    this.departCallbacks.add(handleDeparture);
    response.once('close', () => {
      if (!this.departCallbacks.delete(handleDeparture)) return;
      if (response.writableFinished) onOver(false);
      else handleDeparture();
    });
    return controller.signal;
  }

  private handleEnd(): void {
    this.hasEnded = true;
    const callbacks = [...this.departCallbacks];
    this.departCallbacks.clear();
    callbacks.forEach((depart) => depart());
  }
}

const connections = new WeakMap<Socket, CallerConnection>();

/**
 * Returns a signal that aborts when the caller leaves before its response has been sent: as soon as
 * its connection is closed, reset or half-closed, also while its request waits behind others there.
 * The signal is already aborted if the connection has ended.
 */
export const trackCaller = (
  { socket }: IncomingMessage,
  response: ServerResponse,
  onOver: RequestOverCallback = () => undefined,
): AbortSignal => {
  const connection = connections.get(socket) ?? new CallerConnection(socket);
  connections.set(socket, connection);
  return connection.track(response, onOver);
};
