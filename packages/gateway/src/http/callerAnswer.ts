import type { ServerResponse } from 'node:http';
import { ResponseTiming } from './answerTimes.js';

/** Head of an answer. */
export interface ResponseStart {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  /** Length of the body; undefined where it is sent in chunks. */
  readonly contentLength: number | undefined;
}

const NO_BODY_STATUSES = new Set([204, 304]);

/** Answer side of an exchange. */
export class CallerResponse {
  readonly timing = new ResponseTiming();

  private started = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly isClosing: () => boolean,
  ) {}

  /** Whether the head is on its way to the caller. */
  get isHeadSent(): boolean {
    return this.started;
  }

  start({ status, headers, contentLength }: ResponseStart): void {
    if (this.started || this.response.destroyed) return;
    this.started = true;
    const raw = [...headers];
    if (contentLength !== undefined && !NO_BODY_STATUSES.has(status)) {
      raw.push('content-length', String(contentLength));
    }
    if (this.isClosing()) this.response.shouldKeepAlive = false;
    this.response.writeHead(status, raw);
    if (contentLength === undefined) this.response.flushHeaders();
  }

  /** @returns false where the caller can't take more at the moment */
  write(chunk: Uint8Array): boolean {
    this.timing.note();
    return this.response.destroyed || this.response.write(chunk);
  }

  /** Calls back once the caller can take more. */
  onDrain(resume: () => void): void {
    this.response.once('drain', resume);
  }

  finish(chunk?: Uint8Array): void {
    if (chunk) {
      this.timing.note();
      this.response.end(chunk);
    } else this.response.end();
  }

  /** Ends the connection, so that the answer can't be taken for a whole one. */
  abort(): void {
    this.response.destroy();
  }
}
