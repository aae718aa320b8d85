import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import { getHeapStatistics } from 'node:v8';
import { ByteBudget, watchRequests } from '@goldcrestscale/runtime';

/** Interval at which the heads are summed up while there are many connections. */
const CHECK_INTERVAL_MS = 50;

/** Memory that a byte of a head takes if the head is nothing but fields of a few bytes. */
const MEMORY_PER_HEAD_BYTE = 10;

/** Memory of all fields of a head beside their text; the runtime keeps no more than 1,000 fields. */
const MAX_FIELDS_MEMORY_BYTES = 100_000;

/** Memory of a field of a complete head beside its text. */
const FIELD_MEMORY_BYTES = 150;

/** Memory of an open request beside its fields and its body. */
const REQUEST_MEMORY_BYTES = 4_000;

/** Estimates the memory of an open request without its body, in bytes. */
const estimateRequestMemory = ({ rawHeaders }: IncomingMessage): number =>
  rawHeaders.reduce(
    (bytes, text) => bytes + text.length + FIELD_MEMORY_BYTES / 2,
    REQUEST_MEMORY_BYTES,
  );

/**
 * Creates the budget for the heads of a server, which are kept in the heap, unlike bodies.
 *
 * @param heapFraction fraction of the heap that they may take
 */
export const createHeadBudget = (heapFraction: number): ByteBudget =>
  new ByteBudget(getHeapStatistics().heap_size_limit * heapFraction);

/** Estimates the memory of a head from above: the parser keeps two strings for each field. */
const estimateHeadMemory = (headBytes: number): number =>
  Math.min(headBytes * MEMORY_PER_HEAD_BYTE, headBytes + MAX_FIELDS_MEMORY_BYTES);

const REFUSAL = [
  'HTTP/1.1 503 Service Unavailable',
  'connection: close',
  'content-length: 0',
  'retry-after: 1',
  '',
  '',
].join('\r\n');

/**
 * Refuses the only request of a connection and closes it. The refusal is handed to the kernel at once;
 * a caller that reads nothing would hold the head otherwise.
 */
export const refuseHead = (socket: Socket): void => {
  socket.end(REFUSAL);
  socket.destroy();
};

/** Options of `HeadMemory`. */
export interface HeadMemoryOptions {
  /** The limit of all heads together; open requests hold their part of it. */
  readonly budget: ByteBudget;
  readonly maxHeadBytes: number;
  /** Called with the bytes of a head whose connection is closed. */
  readonly onDrop: (headBytes: number) => void;
}

/**
 * Bounds the memory of heads over all connections of a server: of those that are not complete, and of
 * open requests. The runtime keeps them in the heap and bounds each head by itself only.
 */
export class HeadMemory {
  /** Bytes that had been read before the head, by connection. */
  private readonly startBytes = new Map<Socket, number>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: HeadMemoryOptions) {}

  /** Watches the connections of a server. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => {
      this.begin(socket);
      socket.once('close', () => this.startBytes.delete(socket));
    });
    watchRequests(server, {
      onBusy: (socket) => this.startBytes.delete(socket),
      onIdle: (socket) => this.begin(socket),
    });
  }

  /**
   * Holds the memory of a request that was read.
   *
   * @returns a function that gives it back; undefined if there is none, so that the request can't be kept
   */
  tryHold(request: IncomingMessage): (() => void) | undefined {
    const { budget, onDrop } = this.options;
    const bytes = estimateRequestMemory(request);
    if (!budget.tryReserve(bytes)) {
      onDrop(bytes);
      return undefined;
    }
    const { socket } = request;
    const release = (): void => {
      request.off('close', release);
      socket.off('close', release);
      budget.release(bytes);
    };
    return () => {
      if (request.complete || socket.destroyed) {
        release();
        return;
      }
      // The connection keeps a request, also an answered one, until the end of its body.
      request.once('close', release);
      socket.once('close', release);
    };
  }

  private begin(socket: Socket): void {
    this.startBytes.set(socket, socket.bytesRead);
    const { budget, maxHeadBytes } = this.options;
    if (
      this.timer ||
      this.startBytes.size * estimateHeadMemory(maxHeadBytes) <= budget.limitBytes
    ) {
      return;
    }
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /** Closes the connections with the longest heads until the others fit. */
  private check(): void {
    const { budget, maxHeadBytes, onDrop } = this.options;
    if (this.startBytes.size * estimateHeadMemory(maxHeadBytes) <= budget.limitBytes) {
      clearInterval(this.timer);
      this.timer = undefined;
      return;
    }
    const heads = [...this.startBytes].map(([socket, startBytes]) => {
      const headBytes = socket.bytesRead - startBytes;
      return { socket, headBytes, memoryBytes: estimateHeadMemory(headBytes) };
    });
    let excessBytes =
      heads.reduce((sum, { memoryBytes }) => sum + memoryBytes, 0) -
      Math.max(0, budget.limitBytes - budget.heldBytes);
    if (excessBytes <= 0) return;
    heads.sort((left, right) => right.headBytes - left.headBytes);
    for (const { socket, headBytes, memoryBytes } of heads) {
      if (excessBytes <= 0 || headBytes === 0) return;
      excessBytes -= memoryBytes;
      onDrop(headBytes);
      this.startBytes.delete(socket);
      refuseHead(socket);
    }
  }
}
