import { createHash } from 'node:crypto';
import { MAX_STORED_ANSWER_BYTES } from '@goldcrestscale/core';
import type { RunOutcome } from '@goldcrestscale/core';
import type { AnswerWriter } from '../../filters/exchange.js';
import { REPEATED_HEADERS } from './constants.js';

/** Writes an answer through and keeps a copy of a small one. */
export class AnswerRecorder implements AnswerWriter {
  private readonly chunks: Buffer[] = [];

  private readonly digest = createHash('sha256');

  private bytes = 0;

  private status = 0;

  private headers: Record<string, string> = {};

  constructor(private readonly target: AnswerWriter) {}

  get headSent(): boolean {
    return this.target.headSent;
  }

  writeHead(status: number, headers: Readonly<Record<string, string>>): void {
    this.status = status;
    const repeated = Object.entries(headers).filter(([name]) =>
      (REPEATED_HEADERS as readonly string[]).includes(name.toLowerCase()),
    );
    this.headers = Object.fromEntries(repeated);
    this.target.writeHead(status, headers);
  }

  write(chunk: Uint8Array | string): Promise<void> {
    const copy = Buffer.from(chunk);
    this.digest.update(copy);
    this.bytes += copy.length;
    if (this.bytes <= MAX_STORED_ANSWER_BYTES) this.chunks.push(copy);
    return this.target.write(chunk);
  }

  finish(): void {
    this.target.finish();
  }

  /** Gives the outcome of a run whose answer was written whole. */
  getOutcome(): RunOutcome {
    const answerDigest = this.digest.copy().digest('hex');
    if (this.bytes > MAX_STORED_ANSWER_BYTES) return { verdict: 'ran', answerDigest };
    const bodyBase64 = Buffer.concat(this.chunks).toString('base64');
    const answer = { status: this.status, headers: this.headers, bodyBase64 };
    return { verdict: 'ran', answerDigest, answer };
  }
}
