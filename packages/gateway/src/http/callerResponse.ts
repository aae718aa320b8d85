import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { encodeChunk } from './encodeChunk.js';
import { ResponseTiming } from './responseTiming.js';

/** Head of a response. */
export interface ResponseStart {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  /** Length of the body; undefined for chunked transfer encoding. */
  readonly contentLength: number | undefined;
}

const NO_BODY_STATUSES = new Set([204, 304]);

/** The response of an exchange to its caller. */
export class CallerResponse {
  readonly timing = new ResponseTiming();

  private started = false;

  /** Defined once the head of a chunked response has been passed to it. */
  private chunkSocket: Socket | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly isClosing: () => boolean,
  ) {}

  /** Whether the response head has been sent. */
  get isHeadSent(): boolean {
    return this.started;
  }

  start({ status, headers, contentLength }: ResponseStart): void {
    if (this.started || this.response.destroyed) return;
    const raw = [...headers];
    if (contentLength !== undefined && !NO_BODY_STATUSES.has(status)) {
      raw.push('content-length', String(contentLength));
    }
    if (this.isClosing()) this.response.shouldKeepAlive = false;
    this.response.writeHead(status, raw);
    this.started = true;
    if (contentLength !== undefined) return;
    this.response.flushHeaders();
    // Responses that wait behind another one on their connection have no socket yet.
    const { socket, chunkedEncoding } = this.response;
    if (socket && chunkedEncoding) this.chunkSocket = socket;
  }

  /** @returns false if the caller's connection is congested, until the drain callback */
  write(chunk: Uint8Array): boolean {
    this.timing.note();
    if (this.response.destroyed || chunk.length === 0) return true;
    // One write per chunk; the response object would write length, data and end separately.
    if (this.chunkSocket) return this.chunkSocket.write(encodeChunk(chunk));
    return this.response.write(chunk);
  }

  /** Calls back once the caller's connection accepts more data. */
  onDrain(resume: () => void): void {
    (this.chunkSocket ?? this.response).once('drain', resume);
  }

  finish(chunk?: Uint8Array): void {
    if (chunk) {
      this.timing.note();
      this.response.end(chunk);
    } else this.response.end();
  }

  /** Destroys the connection, so that the caller can't take the response for a complete one. */
  abort(): void {
    const { socket, chunkedEncoding } = this.response;
    // Callers that can't be sent chunks take a regular close for the end of the response.
    if (!chunkedEncoding) socket?.resetAndDestroy();
    this.response.destroy();
  }
}
