import type { IncomingMessage, Server } from 'node:http';
import { getConnectionOrder } from './connectionOrder.js';
import { HeadMemory, createHeadBudget, refuseHead } from './headMemory.js';

/** Options of `RequestIntake`. */
export interface RequestIntakeOptions {
  /** Fraction of the heap that the heads of all connections may take. */
  readonly headHeapFraction: number;
  readonly maxHeadBytes: number;
  /** Maximum number of requests of one connection that wait for their responses. */
  readonly maxOpenRequests: number;
  /** Called with the bytes of a head for which there is no memory. */
  readonly onHeadDropped: (headBytes: number) => void;
  /** Called when a connection is closed because it sends more and more requests. */
  readonly onTooManyPipelined: () => void;
}

/** A request that was taken in. */
export interface TakenRequest {
  /** Whether others of its connection were open when it was read. */
  readonly isPipelined: boolean;
  /** Gives the memory of its head back. */
  readonly releaseHead: () => void;
}

/** Bounds the heads and the requests that a server keeps; what is beyond the bounds is refused, and its connection closed. */
export class RequestIntake {
  private readonly headMemory: HeadMemory;

  constructor(private readonly options: RequestIntakeOptions) {
    this.headMemory = new HeadMemory({
      budget: createHeadBudget(options.headHeapFraction),
      maxHeadBytes: options.maxHeadBytes,
      onDrop: options.onHeadDropped,
    });
  }

  /** Watches the connections of a server. */
  watch(server: Server): void {
    this.headMemory.watch(server);
  }

  /** @returns undefined for a request that nobody runs, because its connection ends */
  tryTake(request: IncomingMessage): TakenRequest | undefined {
    const { socket } = request;
    const order = getConnectionOrder(socket);
    // A request behind the end was sent before its caller knew of it.
    const releaseHead = order.isEnding ? undefined : this.headMemory.tryHold(request);
    const isPipelined = order.hasOpen;
    if (releaseHead && order.tryAdd(request, this.options.maxOpenRequests)) {
      return { isPipelined, releaseHead };
    }
    request.resume();
    if (order.isEnding) return undefined;
    // The parser reads the rest of its input before it notices the close.
    order.abandon();
    if (releaseHead) {
      releaseHead();
      this.options.onTooManyPipelined();
    }
    if (releaseHead || isPipelined) socket.destroy();
    else refuseHead(socket);
    return undefined;
  }
}
