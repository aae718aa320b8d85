import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Requests of one connection, whose responses are sent in the order in which they came. */
export class ConnectionOrder {
  private newest: IncomingMessage | undefined;

  private ending = false;

  /** Whether a response has said that the connection closes behind it. */
  get isEnding(): boolean {
    return this.ending;
  }

  add(request: IncomingMessage): void {
    this.newest = request;
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
