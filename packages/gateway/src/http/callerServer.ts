import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { runChain } from '@goldcrestscale/core';
import type { CallerLimits } from '@goldcrestscale/core';
import {
  ByteReservation,
  CallerTimes,
  ConnectionArrivals,
  EventLoopBarrier,
  trackCaller,
} from '@goldcrestscale/runtime';
import type { ByteBudget } from '@goldcrestscale/runtime';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import type { GatewayFilter } from '../filters/gatewayFilter.js';
import type { FaultRecorder } from '../faultRecorder.js';
import type { CallerProtocol } from '../ports/index.js';
import { CallerResponse } from './callerResponse.js';
import { getConnectionOrder } from './connectionOrder.js';
import { RequestIntake } from './requestIntake.js';

/** Running counts of what callers did. */
export interface CallerCounts {
  requestsRead: number;
  /** Callers that left before their responses had been sent. */
  callersLeft: number;
}

/** Dependencies of the server for callers. */
export interface CallerServerOptions {
  readonly protocol: CallerProtocol;
  readonly filters: readonly GatewayFilter[];
  /** Whether responses close their connections, because this VM shuts down or can't serve yet. */
  readonly isTurningAway: () => boolean;
  /** Returns the earliest monotonic time at which input that is being read now may have arrived. */
  readonly estimateArrivalMs: () => number;
  readonly counts: CallerCounts;
  /** Called with the time for which a request may have waited until its head was read. */
  readonly onHeadRead: (waitedMs: number) => void;
  /** Memory for the bodies of requests and what is buffered of responses. */
  readonly budget: ByteBudget;
  readonly faults: FaultRecorder;
  /** Called when a caller has read nothing of its response for the idle timeout. */
  readonly onUnreadResponse: (unreadBytes: number) => void;
  /** Called when a connection is closed because its caller sends more and more requests before it has responses. */
  readonly onTooManyPipelined: () => void;
  /** Called with the bytes of a head for which there is no memory. */
  readonly onHeadDropped: (headBytes: number) => void;
}

/** The HTTP server for callers. */
export interface CallerServer {
  readonly server: Server;
  /** Counts the requests whose responses have not ended. */
  readonly countOpenRequests: () => number;
  readonly applyLimits: (limits: CallerLimits) => void;
}

/** Maximum size of a request head. */
const MAX_HEADER_BYTES = 65_536;

/** Margin added to the configured timeouts of callers' connections. */
const TIMEOUT_MARGIN_MS = 1_000;

/** Fraction of the heap that the heads of callers may take. */
const HEAD_HEAP_FRACTION = 0.2;

/** Maximum number of requests of one connection that wait for their responses. */
const MAX_OPEN_REQUESTS = 100;

/** Users of a request's memory: the filters, and the connection until the response has been sent. */
const REQUEST_PARTS = 2;

const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

const DEFAULT_HEAD_TIMEOUT_MS = 60_000;

/** What the server knows of the caller of a request. */
interface CallerState {
  /** Earliest monotonic time at which the request may have come. */
  readonly receivedAtMs: number;
  /** Aborts when the caller leaves. */
  readonly signal: AbortSignal;
  readonly reservation: ByteReservation;
  /** Whether its connection closes after the response. */
  readonly isClosing: () => boolean;
  /** Ends the connection if its caller reads nothing of the response for the idle timeout. */
  readonly watchSending: () => void;
}

const buildExchange = (
  request: IncomingMessage,
  response: ServerResponse,
  options: CallerServerOptions,
  { receivedAtMs, signal, reservation, isClosing }: CallerState,
): GatewayExchange => ({
  request,
  method: request.method ?? 'GET',
  host: request.headers.host ?? '',
  target: request.url ?? '/',
  head: options.protocol.parseHead(request),
  response: new CallerResponse(response, isClosing),
  signal,
  reservation,
  receivedAtMs,
  body: Buffer.alloc(0),
  deadlineAtMs: Infinity,
  verdict: 'not-run',
  isSent: false,
  attempts: [],
});

/** Runs a request through the filters; a fault in a filter or in the decoding ends its exchange alone. */
const handleRequest = async (
  options: CallerServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
  state: CallerState,
): Promise<void> => {
  response.on('error', (error) => options.faults.record('caller response', error));
  try {
    await runChain(options.filters, buildExchange(request, response, options, state));
  } catch (cause) {
    // The error response filter handles the errors of the other filters.
    options.faults.record('caller request', cause);
    response.destroy();
  } finally {
    request.resume();
    if (!response.writableFinished) state.watchSending();
  }
};

/** The requests whose responses have not ended. */
class OpenRequests {
  private openCount = 0;

  constructor(
    private readonly options: CallerServerOptions,
    private readonly server: Server,
  ) {}

  get count(): number {
    return this.openCount;
  }

  /** Begins a request whose head has been read; the last function gives back the memory of its head. */
  begin(
    request: IncomingMessage,
    response: ServerResponse,
    receivedAtMs: number,
    releaseHead: () => void,
  ): void {
    const { options, server } = this;
    const { counts } = options;
    this.openCount += 1;
    counts.requestsRead += 1;
    options.onHeadRead(performance.now() - receivedAtMs);
    const order = getConnectionOrder(request.socket);
    const reservation = new ByteReservation(options.budget);
    let parts = REQUEST_PARTS;
    const releasePart = (): void => {
      parts -= 1;
      if (parts > 0) return;
      reservation.release();
      releaseHead();
    };
    const signal = trackCaller(request, response, (hasLeft) => {
      this.openCount -= 1;
      order.remove();
      if (hasLeft) counts.callersLeft += 1;
      releasePart();
    });
    const watchSending = (): void => {
      response.setTimeout(server.keepAliveTimeout, () => {
        options.onUnreadResponse(response.writableLength);
        response.destroy();
      });
    };
    const isClosing = (): boolean => options.isTurningAway() && order.tryEnd(request);
    const state = { receivedAtMs, signal, reservation, isClosing, watchSending };
    void handleRequest(options, request, response, state).finally(releasePart);
  }
}

/** Creates the HTTP server for callers. */
export const createCallerServer = (options: CallerServerOptions): CallerServer => {
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true });
  server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS + TIMEOUT_MARGIN_MS;
  const callerTimes = new CallerTimes(new EventLoopBarrier(), { headMs: DEFAULT_HEAD_TIMEOUT_MS });
  callerTimes.watch(server);
  const arrivals = new ConnectionArrivals({ estimateInputMs: options.estimateArrivalMs });
  arrivals.watch(server);
  const intake = new RequestIntake({
    headHeapFraction: HEAD_HEAP_FRACTION,
    maxHeadBytes: MAX_HEADER_BYTES,
    maxOpenRequests: MAX_OPEN_REQUESTS,
    ...options,
  });
  intake.watch(server);
  const openRequests = new OpenRequests(options, server);
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    const taken = intake.tryTake(request);
    if (!taken) return;
    const { isPipelined, releaseHead } = taken;
    const receivedAtMs = arrivals.estimateRequestMs(request.socket);
    if (!isPipelined) {
      openRequests.begin(request, response, receivedAtMs, releaseHead);
      return;
    }
    // Once all that was read with it has been parsed, which may end the connection.
    queueMicrotask(() => {
      if (!getConnectionOrder(request.socket).isEnding) {
        openRequests.begin(request, response, receivedAtMs, releaseHead);
        return;
      }
      releaseHead();
      request.resume();
    });
  });
  return {
    server,
    countOpenRequests: () => openRequests.count,
    applyLimits({ headerTimeoutMs, idleTimeoutMs }) {
      server.keepAliveTimeout = idleTimeoutMs + TIMEOUT_MARGIN_MS;
      callerTimes.setLimits({ headMs: headerTimeoutMs + TIMEOUT_MARGIN_MS });
    },
  };
};
