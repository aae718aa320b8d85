import type { ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { pauseSocket } from '@goldcrestscale/runtime';
import { MAX_BYTES_BEFORE_HEAD, MAX_INFORMATIONAL_RESPONSES } from '../constants.js';
import { ConnectionError } from './connectionError.js';
import { FaultError } from './faultError.js';
import { InvalidResponseError } from './invalidResponseError.js';

/** What ends a body: its content length, its last chunk or the end of the connection. */
export type BodyFraming = 'length' | 'chunks' | 'connection';

/** Head of a response as received. */
export interface RawResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[];
  readonly framing: BodyFraming;
}

const findFraming = (headers: IncomingHttpHeaders): BodyFraming => {
  if (headers['transfer-encoding'] !== undefined) return 'chunks';
  return headers['content-length'] === undefined ? 'connection' : 'length';
};

/** Statuses whose responses end with their heads. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Controls a response that is being received. */
export interface ResponseFlow {
  /** Reads no more; what has been read still comes. */
  pause(): void;
  resume(): void;
  /** Ends the exchange with an error and closes the connection. */
  abort(error: Error): void;
}

/** Receives the events of an exchange; `onEnd` or `onError` is the last one. */
export interface ExchangeHandler {
  /** The first byte of the request is about to be written. */
  onSend(): void;
  onHead(head: RawResponseHead, flow: ResponseFlow): void;
  onData(chunk: Buffer, flow: ResponseFlow): void;
  onEnd(): void;
  onError(error: Error): void;
}

/** Statuses that HTTP defines for a final response; Node.js parses any three digits. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Passes the events of one request and its response to a handler, in a fixed order. What the handler
 * throws ends this exchange only: nobody awaits the event handlers of a socket, so an error that
 * left them would end the process.
 */
export class ConnectionExchange implements ResponseFlow {
  private isDone = false;

  private informationalCount = 0;

  private hasHead = false;

  private bytesBeforeHead = 0;

  private socket: Socket | undefined;

  private resumeSocket: (() => void) | undefined;

  constructor(
    private readonly request: ClientRequest,
    private readonly handler: ExchangeHandler,
  ) {
    request.once('socket', (socket) => this.handleSocket(socket));
    request.on('error', (error) => this.fail(error));
    request.on('information', () => this.handleInformation());
    request.once('response', (response) => this.handleResponse(response));
    request.once('close', () => this.failIfOpen('connection closed'));
  }

  pause(): void {
    if (this.isDone || !this.socket) return;
    this.resumeSocket ??= pauseSocket(this.socket);
  }

  resume(): void {
    this.resumeSocket?.();
    this.resumeSocket = undefined;
  }

  abort(error: Error): void {
    this.fail(error);
    this.request.destroy();
  }

  /** Handles a read of the connection before the parser does. */
  handleRead(bytes: number): void {
    if (this.isDone || this.hasHead) return;
    // The parser skips line ends without end.
    if (this.bytesBeforeHead > MAX_BYTES_BEFORE_HEAD) {
      this.abort(new InvalidResponseError('too much before the head', 'head'));
    }
    this.bytesBeforeHead += bytes;
  }

  private handleSocket(socket: Socket): void {
    this.socket = socket;
    if (socket.connecting) socket.once('connect', () => this.guard(() => this.handler.onSend()));
    else this.guard(() => this.handler.onSend());
  }

  private handleInformation(): void {
    this.informationalCount += 1;
    if (this.informationalCount > MAX_INFORMATIONAL_RESPONSES) {
      this.abort(new InvalidResponseError('too many informational responses', 'head'));
    }
  }

  private handleResponse(response: IncomingMessage): void {
    this.hasHead = true;
    const { statusCode = 0, headers, rawHeaders } = response;
    response.on('data', (chunk: Buffer) => {
      if (!this.isDone) this.guard(() => this.handler.onData(chunk, this));
    });
    response.on('end', () => this.finish(response));
    response.on('error', (error) => this.fail(error));
    response.on('close', () => this.failIfOpen('response cut short'));
    if (statusCode < MIN_STATUS || statusCode > MAX_STATUS) {
      this.abort(new InvalidResponseError(`response with status ${statusCode}`, 'head'));
      return;
    }
    const framing = findFraming(headers);
    this.guard(() =>
      this.handler.onHead({ status: statusCode, headers, rawHeaders, framing }, this),
    );
  }

  private guard(handle: () => void): void {
    try {
      handle();
    } catch (cause) {
      this.abort(new FaultError('the response could not be handled', { cause }));
    }
  }

  private finish(response: IncomingMessage): void {
    if (this.isDone) return;
    if (!response.complete) {
      this.failIfOpen('response cut short');
      return;
    }
    // The close discards the rest of the request, so that it looks the same as a reset in the response.
    if (this.isEndedByClose(response) && !this.request.writableFinished) {
      this.abort(new ConnectionError('response ended before its request was sent'));
      return;
    }
    this.guard(() => this.handler.onEnd());
    this.isDone = true;
    this.resume();
  }

  private isEndedByClose({ headers, statusCode = 0 }: IncomingMessage): boolean {
    const hasBody = this.request.method !== 'HEAD' && !BODILESS_STATUSES.has(statusCode);
    return hasBody && findFraming(headers) === 'connection';
  }

  /** Every exchange closes; the error is created only for one that has not ended. */
  private failIfOpen(reason: string): void {
    if (!this.isDone) this.fail(new ConnectionError(reason));
  }

  private fail(error: Error): void {
    if (this.isDone) return;
    this.isDone = true;
    this.resume();
    this.handler.onError(error);
  }
}
