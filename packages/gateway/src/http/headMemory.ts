import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { watchRequests } from '@goldcrestscale/runtime';
import type { ByteBudget } from '@goldcrestscale/runtime';

/** Interval at which the heads are summed up while there are many connections. */
const CHECK_INTERVAL_MS = 50;

/** Memory that a byte of a head takes if the head is nothing but fields of a few bytes. */
const MEMORY_PER_HEAD_BYTE = 10;

/** Memory of all fields of a head beside their text; the runtime keeps no more than 1,000 fields. */
const MAX_FIELDS_MEMORY_BYTES = 100_000;

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

/** Options of `HeadMemory`. */
export interface HeadMemoryOptions {
  /** What it has left is the limit of all heads together. */
  readonly budget: ByteBudget;
  readonly maxHeadBytes: number;
  /** Called with the bytes of a head whose connection is closed. */
  readonly onDrop: (headBytes: number) => void;
}

/**
 * Bounds the memory of heads that are not complete, over all connections of a server. The parser of
 * the runtime keeps them in the heap and bounds each head by itself only.
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
      // The refusal is handed to the kernel at once; a caller that reads nothing would hold the head otherwise.
      socket.end(REFUSAL);
      socket.destroy();
    }
  }
}
