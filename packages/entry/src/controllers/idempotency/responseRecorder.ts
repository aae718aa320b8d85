import { createHash } from 'node:crypto';
import { MAX_STORED_RESPONSE_BYTES } from '@goldcrestscale/core';
import type { ExecutionOutcome } from '@goldcrestscale/core';
import type { ResponseWriter } from '../../filters/exchange.js';
import { REPLAYED_RESPONSE_HEADERS } from './constants.js';

/** Passes a response through to its target, and keeps a copy if it is small enough to store. */
export class ResponseRecorder implements ResponseWriter {
  private readonly chunks: Buffer[] = [];

  private readonly digest = createHash('sha256');

  private byteCount = 0;

  private status = 0;

  private headers: Record<string, string> = {};

  constructor(private readonly target: ResponseWriter) {}

  get isHeadSent(): boolean {
    return this.target.isHeadSent;
  }

  writeHead(status: number, headers: Readonly<Record<string, string>>): void {
    this.status = status;
    const replayedHeaders = Object.entries(headers).filter(([name]) =>
      (REPLAYED_RESPONSE_HEADERS as readonly string[]).includes(name.toLowerCase()),
    );
    this.headers = Object.fromEntries(replayedHeaders);
    this.target.writeHead(status, headers);
  }

  write(chunk: Uint8Array | string): Promise<void> {
    const copy = Buffer.from(chunk);
    this.digest.update(copy);
    this.byteCount += copy.length;
    if (this.byteCount <= MAX_STORED_RESPONSE_BYTES) this.chunks.push(copy);
    return this.target.write(chunk);
  }

  finish(): void {
    this.target.finish();
  }

  /** Returns the outcome of a run whose response was written completely. */
  getOutcome(): ExecutionOutcome {
    const answerDigest = this.digest.copy().digest('hex');
    if (this.byteCount > MAX_STORED_RESPONSE_BYTES) return { verdict: 'ran', answerDigest };
    const bodyBase64 = Buffer.concat(this.chunks).toString('base64');
    const storedResponse = { status: this.status, headers: this.headers, bodyBase64 };
    return { verdict: 'ran', answerDigest, answer: storedResponse };
  }
}
