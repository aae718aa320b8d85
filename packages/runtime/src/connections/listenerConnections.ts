import type { Server, Socket } from 'node:net';

/** Counts the open connections of a listener. */
export class ListenerConnections {
  private readonly open = new Set<Socket>();

  get openCount(): number {
    return this.open.size;
  }

  /** Watches the connections that a server accepts. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => this.add(socket));
  }

  private add(socket: Socket): void {
    this.open.add(socket);
    socket.once('close', () => this.open.delete(socket));
  }
}
