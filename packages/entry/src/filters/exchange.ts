import type { IncomingHttpHeaders } from 'node:http';
import type {
  ClientAccountRow,
  IdempotencyKey,
  PromptBlock,
  RequestId,
  Verdict,
  WeightVersion,
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

/** A call of the OpenAI-compatible completion API. */
export interface CompletionTarget {
  readonly kind: 'completion';
  readonly path: '/v1/chat/completions' | '/v1/completions';
  readonly model: string;
  readonly adapter?: string;
  readonly stream: boolean;
  /** Whole prompt text, for prefix keys. */
  readonly prompt: string;
  /** Parsed body of the caller. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A call of a plain service. */
export interface ServiceTarget {
  readonly kind: 'service';
  readonly service: string;
  /** Path at the service, with its query. */
  readonly path: string;
}

/** What a caller asked for, once parsed. */
export type ExchangeTarget = CompletionTarget | ServiceTarget;

/** One caller request on its way through the filters. */
export interface Exchange {
  readonly requestId: RequestId;
  readonly method: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly target: ExchangeTarget;
  /** A filter may put a recording writer in its place for the rest of the chain. */
  answer: AnswerWriter;
  /** Aborts when the caller has gone; a filter may detach the rest of the chain from the caller. */
  signal: AbortSignal;
  readonly receivedAtMs: number;
  /** Set by the account filter. */
  account?: ClientAccountRow;
  /** Set by the account filter. */
  workload?: WorkloadRow;
  /** Set by the account filter: whether the request may run more than once. */
  idempotent: boolean;
  /** Set by the once filter for an unrepeatable request. */
  idempotencyKey?: IdempotencyKey;
  /** Set by the deadline filter: time by which the answer must have begun, by the runtime's clock. */
  deadlineAtMs?: number;
  /** Set by the weight version filter: the version that every attempt must use. */
  weightVersion?: WeightVersion;
  /** Set by the prefix filter. */
  blocks?: readonly PromptBlock[];
  /**
   * Asserts that the request may still be sent. Filters that own a right to run add their check;
   * the dispatch filter calls it right before the first byte leaves.
   */
  assertSendable: () => void;
  /** Worst verdict of the attempts so far. */
  verdict: Verdict;
}
