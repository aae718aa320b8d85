import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import type { ByteBudget } from '@goldcrestscale/runtime';

/** Interval at which the heads are summed up while there are many connections. */
const CHECK_INTERVAL_MS = 50;

const REFUSAL = [
  'HTTP/1.1 503 Service Unavailable',
  'connection: close',
  'content-length: 0',
  'retry-after: 1',
  '',
  '',
].join('\r\n');

/** Options of `HeadMemory`. */
export interface HeadMemoryOptions {
  /** What it has left is the limit of all heads together. */
  readonly budget: ByteBudget;
  readonly maxHeadBytes: number;
  /** Called with the bytes of a head whose connection is closed. */
  readonly onDrop: (headBytes: number) => void;
}

/**
 * Bounds the bytes of heads that are not complete, over all connections of a server. The parser of
 * the runtime keeps them in the heap and bounds each head by itself only.
 */
export class HeadMemory {
  /** Bytes that had been read before the head, by connection. */
  private readonly startBytes = new Map<Socket, number>();

  private readonly openRequests = new WeakMap<Socket, number>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: HeadMemoryOptions) {}

  /** Watches the connections of a server. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => {
      this.begin(socket);
      socket.once('close', () => this.startBytes.delete(socket));
    });
    server.on('request', ({ socket }, response) => {
      this.startBytes.delete(socket);
      this.openRequests.set(socket, (this.openRequests.get(socket) ?? 0) + 1);
      response.once('close', () => {
        const openRequests = (this.openRequests.get(socket) ?? 1) - 1;
        this.openRequests.set(socket, openRequests);
        if (openRequests === 0 && !socket.destroyed) this.begin(socket);
      });
    });
  }

  private begin(socket: Socket): void {
    this.startBytes.set(socket, socket.bytesRead);
    const { budget, maxHeadBytes } = this.options;
    if (this.timer || this.startBytes.size * maxHeadBytes <= budget.limitBytes) return;
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /** Closes the connections with the longest heads until the others fit. */
  private check(): void {
    const { budget, maxHeadBytes, onDrop } = this.options;
    if (this.startBytes.size * maxHeadBytes <= budget.limitBytes) {
      clearInterval(this.timer);
      this.timer = undefined;
      return;
    }
    const heads = [...this.startBytes].map(([socket, startBytes]) => ({
      socket,
      headBytes: socket.bytesRead - startBytes,
    }));
    let excessBytes =
      heads.reduce((sum, { headBytes }) => sum + headBytes, 0) -
      Math.max(0, budget.limitBytes - budget.heldBytes);
    if (excessBytes <= 0) return;
    heads.sort((left, right) => right.headBytes - left.headBytes);
    for (const { socket, headBytes } of heads) {
      if (excessBytes <= 0 || headBytes === 0) return;
      excessBytes -= headBytes;
      onDrop(headBytes);
      this.startBytes.delete(socket);
      // The refusal is handed to the kernel at once; a caller that reads nothing would hold the head otherwise.
      socket.end(REFUSAL);
      socket.destroy();
    }
  }
}
