import { connect } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** Options of `ConnectionArrivals`. */
export interface ConnectionArrivalsOptions {
  /** Returns the earliest monotonic time at which input that is being read now may have arrived. */
  readonly estimateInputMs: () => number;
}

/** Turns of the event loop after the accept in which bytes that waited with a connection are read. */
const READ_TURNS = 2;

/** Interval at which the queue is measured while it does not become empty, in milliseconds. */
const MARKER_INTERVAL_MS = 100;

/** Maximum number of markers in the queue. */
const MAX_MARKERS = 32;

/** A connection of this process to its own listener, which takes its place in the queue. */
interface Marker {
  readonly socket: Socket;
  readonly openedAtMs: number;
}

/**
 * Tells when the connections of a listener may have come. A turn of the event loop accepts only one
 * of those that wait in the kernel, and the runtime does not tell for how long they waited. They are
 * accepted in the order in which they came: one came after the last turn that found nobody waiting,
 * and after each of this process's own connections that was accepted before it.
 */
export class ConnectionArrivals {
  private readonly markers = new Set<Marker>();

  /** Earliest arrivals of the connections that were accepted in the last turns, the newest first. */
  private unread: Map<Socket, number>[] = [];

  /** Earliest time at which the next connection in the queue may have come. */
  private sinceMs = -Infinity;

  private isFollowing = false;

  private hasAccepted = false;

  constructor(private readonly options: ConnectionArrivalsOptions) {}

  /** Watches the connections that a server accepts. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => this.recordAccept(server, socket));
    server.once('close', () => this.closeMarkers());
  }

  /**
   * Returns the earliest monotonic time at which a request may have come that is being read now. Only
   * what is read right after the accept may have waited with the connection.
   */
  estimateRequestMs(socket: Socket): number {
    const inputMs = this.options.estimateInputMs();
    const acceptedMs = this.unread.find((sockets) => sockets.has(socket))?.get(socket);
    return Math.min(inputMs, acceptedMs ?? inputMs);
  }

  private recordAccept(server: Server, socket: Socket): void {
    this.hasAccepted = true;
    if (!this.isFollowing) {
      this.isFollowing = true;
      this.sinceMs = Math.max(this.sinceMs, this.options.estimateInputMs());
      this.unread = Array.from({ length: READ_TURNS + 1 }, () => new Map<Socket, number>());
      setImmediate(() => this.followTurn(server, 0));
    }
    const marker = this.findMarker(socket);
    if (marker) {
      this.sinceMs = Math.max(this.sinceMs, marker.openedAtMs);
      this.removeMarker(marker);
      socket.destroy();
      return;
    }
    this.unread[0]?.set(socket, this.sinceMs);
  }

  /** Follows the queue by turns until nobody waits and what came with the last ones has been read. */
  private followTurn(server: Server, idleTurns: number): void {
    const startedAtMs = performance.now();
    this.hasAccepted = false;
    this.unread.unshift(new Map());
    this.unread.length = READ_TURNS + 1;
    if (startedAtMs - this.sinceMs > MARKER_INTERVAL_MS) this.openMarker(server, startedAtMs);
    setImmediate(() => {
      if (!this.hasAccepted) this.sinceMs = startedAtMs;
      const nextIdleTurns = this.hasAccepted ? 0 : idleTurns + 1;
      if (nextIdleTurns <= READ_TURNS) this.followTurn(server, nextIdleTurns);
      else {
        this.isFollowing = false;
        this.unread = [];
        this.closeMarkers();
      }
    });
  }

  private openMarker(server: Server, nowMs: number): void {
    const address = server.address() as AddressInfo | null;
    const newest = [...this.markers].at(-1);
    const isDue = nowMs - (newest?.openedAtMs ?? -Infinity) > MARKER_INTERVAL_MS;
    if (!address || !isDue || this.markers.size >= MAX_MARKERS) return;
    const socket = connect({ host: address.address, port: address.port });
    const marker = { socket, openedAtMs: nowMs };
    this.markers.add(marker);
    socket.unref();
    // Without it the estimate stays as it was.
    socket.on('error', () => this.removeMarker(marker));
  }

  private findMarker(accepted: Socket): Marker | undefined {
    return [...this.markers].find(
      ({ socket }) =>
        socket.localPort === accepted.remotePort && socket.localAddress === accepted.remoteAddress,
    );
  }

  private removeMarker(marker: Marker): void {
    this.markers.delete(marker);
    marker.socket.destroy();
  }

  private closeMarkers(): void {
    this.markers.forEach((marker) => this.removeMarker(marker));
  }
}
