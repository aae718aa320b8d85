import type { Server as HttpServer } from 'node:http';
import type { Server, Socket } from 'node:net';
import { EventLoopBarrier } from '../eventLoop/index.js';
import type { SocketShare } from './socketShare.js';
import { watchRequests } from './watchRequests.js';

/** What was done to a connection for want of sockets. */
export type ConnectionLoss = 'idle-closed' | 'refused';

/** Options of `ListenerConnections`. */
export interface ListenerConnectionsOptions {
  readonly share: SocketShare;
  /** Called with each connection that is closed because there are no sockets for more. */
  readonly onLoss: (loss: ConnectionLoss) => void;
}

/** Time without a request after which a connection may be closed to make room, in milliseconds. */
const MIN_IDLE_MS = 500;

/** Maximum number of connections beyond the bound, most of which wait for the input to be read. */
const MAX_EXCESS = 16;

/**
 * Counts and bounds the open connections of a listener. Beyond the bound, a new connection takes the
 * place of the one that has been idle for the longest time; if none is idle, the new one is refused.
 * That is decided once all input has been read, because the request of an idle connection may lie
 * unread. A new connection whose own request was read meanwhile stays beyond the bound.
 */
export class ListenerConnections {
  private readonly open = new Set<Socket>();

  /** Open connections that the share does not count. */
  private readonly excess = new Set<Socket>();

  private readonly inputBarrier = new EventLoopBarrier();

  /** Since when connections have been idle, the longest idle first. */
  private readonly idleSinceMs = new Map<Socket, number>();

  constructor(private readonly options: ListenerConnectionsOptions) {}

  get openCount(): number {
    return this.open.size;
  }

  /** Watches the connections that a server accepts; they are idle until they are marked as busy. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => this.add(socket));
  }

  /** Watches the connections of an HTTP server, which are busy while they have open requests. */
  watchHttp(server: HttpServer): void {
    this.watch(server);
    watchRequests(server, {
      onBusy: (socket) => this.markBusy(socket),
      onIdle: (socket) => this.markIdle(socket),
    });
  }

  markBusy(socket: Socket): void {
    this.idleSinceMs.delete(socket);
  }

  private markIdle(socket: Socket): void {
    if (this.open.has(socket)) this.idleSinceMs.set(socket, performance.now());
  }

  private add(socket: Socket): void {
    const { share } = this.options;
    if (!share.tryOpen()) {
      if (this.excess.size >= MAX_EXCESS && !this.closeLongestIdle()) {
        this.refuse(socket);
        return;
      }
      if (!share.tryOpen()) {
        this.excess.add(socket);
        void this.inputBarrier.run(() => this.settleExcess(socket));
      }
    }
    this.open.add(socket);
    this.markIdle(socket);
    socket.once('close', () => {
      this.remove(socket);
      this.countExcess();
    });
  }

  private settleExcess(socket: Socket): void {
    this.countExcess();
    if (!this.excess.has(socket)) return;
    if (this.closeLongestIdle()) this.countExcess();
    else if (this.idleSinceMs.has(socket)) this.refuse(socket);
  }

  /** Has the share count connections beyond the bound, as far as there is room. */
  private countExcess(): void {
    for (const socket of this.excess) {
      if (!this.options.share.tryOpen()) return;
      this.excess.delete(socket);
    }
  }

  private refuse(socket: Socket): void {
    this.options.onLoss('refused');
    socket.destroy();
    this.remove(socket);
  }

  private closeLongestIdle(): boolean {
    const [longest] = this.idleSinceMs;
    if (!longest) return false;
    const [socket, idleSinceMs] = longest;
    if (performance.now() - idleSinceMs < MIN_IDLE_MS) return false;
    this.options.onLoss('idle-closed');
    // Its descriptor is free at once, its close is emitted later.
    socket.destroy();
    this.remove(socket);
    return true;
  }

  private remove(socket: Socket): void {
    if (!this.open.delete(socket)) return;
    this.idleSinceMs.delete(socket);
    if (!this.excess.delete(socket)) this.options.share.release();
  }
}
