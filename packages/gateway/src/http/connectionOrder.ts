import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Requests of one connection, whose responses are sent in the order in which they came. */
export class ConnectionOrder {
  private newest: IncomingMessage | undefined;

  private openCount = 0;

  private ending = false;

  /** Whether a response has said that the connection closes behind it. */
  get isEnding(): boolean {
    return this.ending;
  }

  /** Whether requests wait for their responses. */
  get hasOpen(): boolean {
    return this.openCount > 0;
  }

  /** @returns whether it was added; false if the connection has too many open requests */
  tryAdd(request: IncomingMessage, maxOpen: number): boolean {
    if (this.openCount >= maxOpen) return false;
    this.openCount += 1;
    this.newest = request;
    return true;
  }

  /** Takes out a request whose response has been sent, or whose caller has left. */
  remove(): void {
    this.openCount -= 1;
  }

  /** Ends the connection with none of its requests, because it is closed at once. */
  abandon(): void {
    this.ending = true;
  }

  /**
   * Ends the connection with the response to a request, unless others wait behind it or the rest of
   * its body would be unread, which resets the connection.
   *
   * @returns whether it ends there
   */
  tryEnd(request: IncomingMessage): boolean {
    if (this.newest !== request || !request.complete) return false;
    this.ending = true;
    return true;
  }
}

const orders = new WeakMap<Socket, ConnectionOrder>();

/** Returns the order of the requests of a connection. */
export const getConnectionOrder = (socket: Socket): ConnectionOrder => {
  const order = orders.get(socket) ?? new ConnectionOrder();
  orders.set(socket, order);
  return order;
};
