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

/** Writes the response of an exchange. Nothing may be written after `finish`. */
export interface ResponseWriter {
  /** Whether the response head has been sent. */
  readonly isHeadSent: boolean;
  writeHead(status: number, headers: Readonly<Record<string, string>>): void;
  /** Resolves when the connection can accept more data. */
  write(chunk: Uint8Array | string): Promise<void>;
  finish(): void;
}

/** A request to the OpenAI-compatible completion API. */
export interface CompletionTarget {
  readonly kind: 'completion';
  readonly path: '/v1/chat/completions' | '/v1/completions';
  readonly model: string;
  readonly adapter?: string;
  readonly stream: boolean;
  /** Full prompt text, from which the prefix block keys derive. */
  readonly prompt: string;
  /** Fields of the request body, without the reserved ones. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A request to a plain service. */
export interface ServiceTarget {
  readonly kind: 'service';
  readonly service: string;
  /** Path on the service, including the query. */
  readonly path: string;
}

/** Parsed target of a caller's request. */
export type ExchangeTarget = CompletionTarget | ServiceTarget;

/** One caller request and its state in the filter chain. */
export interface Exchange {
  readonly requestId: RequestId;
  readonly method: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly target: ExchangeTarget;
  /** A filter may replace it by a recording writer for the rest of the chain. */
  response: ResponseWriter;
  /** Aborts when the caller disconnects; a filter may replace it to detach the chain. */
  signal: AbortSignal;
  /** Earliest monotonic time at which the request may have arrived. */
  readonly receivedAtMs: number;
  /** Monotonic time at which its head was read. */
  readonly readAtMs: number;
  /** Set by the account filter. */
  account?: ClientAccountRow;
  /** Set by the account filter. */
  workload?: WorkloadRow;
  /** Set by the account filter: whether the request may run more than once. */
  isIdempotent: boolean;
  /** Set by the idempotency filter for a non-idempotent request. */
  idempotencyKey?: IdempotencyKey;
  /** Set by the deadline filter: latest start of the response, in monotonic time. */
  deadlineAtMs?: number;
  /** Set by the weight version filter: the version that all attempts must use. */
  weightVersion?: WeightVersion;
  /** Set by the prefix filter. */
  blocks?: readonly PromptBlock[];
  /**
   * Asserts that the request may still be sent. Filters whose condition may lapse in the meantime
   * add their check; it is called right before the first byte is sent.
   */
  assertSendable: () => void;
  /** Combined verdict of the attempts so far. */
  verdict: Verdict;
}
