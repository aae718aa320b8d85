import type { IncomingHttpHeaders } from 'node:http';
import type {
  ClientAccountRow,
  IdempotencyKey,
  PromptBlock,
  RequestId,
  Verdict,
  WorkloadRow,
} from '@goldcrestscale/core';

/** Answer side of an exchange. Nothing may be written after `finish`. */
export interface AnswerWriter {
  /** Whether the head is on its way to the caller. */
  readonly headSent: boolean;
  writeHead(status: number, headers: Readonly<Record<string, string>>): void;
  /** Resolves when the caller can take more. */
  write(chunk: Uint8Array | string): Promise<void>;
  finish(): void;
}

/** What a caller asked for, once parsed. */
export type ExchangeTarget =
  | {
      readonly kind: 'completion';
      readonly path: '/v1/chat/completions' | '/v1/completions';
      readonly model: string;
      readonly stream: boolean;
      /** Whole prompt text, for prefix keys. */
      readonly prompt: string;
    }
  | { readonly kind: 'service'; readonly service: string; readonly path: string };

/** One caller request on its way through the filters. */
export interface Exchange {
  readonly requestId: RequestId;
  readonly method: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly target: ExchangeTarget;
  readonly answer: AnswerWriter;
  /** Aborts when the caller has gone or the deadline has passed. */
  readonly signal: AbortSignal;
  readonly receivedAtMs: number;
  /** Set by the account filter. */
  account?: ClientAccountRow;
  /** Set by the account filter. */
  workload?: WorkloadRow;
  /** Set by the once filter for an unrepeatable request. */
  idempotencyKey?: IdempotencyKey;
  /** Set by the deadline filter, in milliseconds of the runtime's clock. */
  deadlineAtMs?: number;
  /** Set by the prefix filter. */
  blocks?: readonly PromptBlock[];
  /** Worst verdict of the attempts so far. */
  verdict: Verdict;
}
