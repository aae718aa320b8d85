import type { Dispatcher } from 'undici';
import type { TrackedUpstream } from '@goldcrestscale/core';
import { MAX_WHOLE_BYTES } from '../constants.js';
import type { GatewayExchange } from '../filters/exchange.js';
import { requireRoute } from '../filters/exchange.js';
import type { AnswerHead, AttemptFacts, UpstreamProtocol } from '../ports/index.js';
import type { AttemptResult } from './attemptResult.js';
import type { EventSplitter } from './eventSplitter.js';
import type { UpstreamConnection } from './upstreamConnection.js';
import { ConnectionError } from './connectionError.js';

/** What an attempt is made of. */
export interface AttemptPlan {
  readonly exchange: GatewayExchange;
  readonly upstream: TrackedUpstream;
  readonly connection: UpstreamConnection;
  readonly protocol: UpstreamProtocol;
  readonly facts: AttemptFacts;
  /** Aborts when the caller leaves or the time is over. */
  readonly signal: AbortSignal;
  /** Shared by the attempts of one resumable stream. */
  readonly events: EventSplitter | undefined;
  readonly onHead: (head: AnswerHead) => void;
}

type Phase = 'offered' | 'sent' | 'whole' | 'stream' | 'dropped';

/** Statuses that promise that a request has not run; true only with the upstream's own proof. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

const FIRST_FAILURE = 500;

/** Sends one request over one connection, relays the answer, and tells how it ended. */
export class UpstreamAttempt implements Dispatcher.DispatchHandler {
  private phase: Phase = 'offered';

  private head: AnswerHead | undefined;

  private readonly chunks: Buffer[] = [];

  private bytes = 0;

  private resolveEnd: ((result: AttemptResult) => void) | undefined;

  private isOpenStream = false;

  /** Whether the connection may carry another request. */
  isReusable = false;

  constructor(private readonly plan: AttemptPlan) {}

  run(): Promise<AttemptResult> {
    const { exchange, connection, protocol, facts, signal } = this.plan;
    const cancel = (): void => {
      this.phase = this.phase === 'offered' ? 'dropped' : this.phase;
      connection.close();
    };
    const ended = new Promise<AttemptResult>((resolve) => {
      this.resolveEnd = resolve;
    });
    signal.addEventListener('abort', cancel, { once: true });
    connection.send(
      {
        method: exchange.method,
        path: exchange.target,
        headers: protocol.buildHeaders(exchange, facts),
        body: exchange.body.length > 0 ? exchange.body : null,
      },
      this,
    );
    return ended.finally(() => {
      signal.removeEventListener('abort', cancel);
      if (this.isOpenStream) this.plan.upstream.noteStreamEnd();
    });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // The request may be offered to the connection after the caller has left.
    if (this.phase === 'dropped') controller.abort(new ConnectionError('cancelled'));
    else this.phase = 'sent';
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (status < 200) return;
    const { protocol, exchange, connection, onHead } = this.plan;
    const raw = (controller as { rawHeaders?: Buffer[] }).rawHeaders ?? [];
    const head = protocol.readAnswerHead(
      status,
      headers,
      raw.map((item) => item.toString('latin1')),
    );
    this.head = head;
    connection.noteKeepAlive(String(headers['keep-alive'] ?? ''));
    const isForeign = head.requestId !== undefined && head.requestId !== exchange.head.requestId;
    const isSpoiled =
      isSuccess(status) &&
      (!head.isSigned || head.requestId === undefined || 'content-encoding' in headers);
    if (isForeign || isSpoiled) {
      controller.abort(new Error(isForeign ? 'answer to another request' : 'spoiled answer'));
      return;
    }
    onHead(head);
    this.plan.upstream.noteHeard();
    const isStream = requireRoute(exchange).streaming && isSuccess(status);
    this.phase = isStream ? 'stream' : 'whole';
    if (isStream) this.startStream(head);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.plan.upstream.noteHeard();
    if (this.phase === 'stream') this.relayChunk(controller, chunk);
    else if (this.phase === 'whole') this.collectChunk(chunk);
  }

  onResponseEnd(): void {
    if (this.plan.connection.wasReset) {
      this.resolveEnd?.(this.explainError(new ConnectionError('reset on the way')));
      return;
    }
    this.isReusable = true;
    this.resolveEnd?.(this.finish());
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.resolveEnd?.(this.explainError(error));
  }

  private startStream(head: AnswerHead): void {
    const { answer } = this.plan.exchange;
    this.plan.events?.restart();
    this.plan.upstream.noteStreamOpen();
    this.isOpenStream = true;
    answer.start({ status: head.status, headers: head.forwarded, contentLength: undefined });
  }

  private relayChunk(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    const { exchange, events } = this.plan;
    const piece = events ? events.push(chunk) : chunk;
    if (piece.length === 0 || exchange.answer.write(piece)) return;
    controller.pause();
    exchange.answer.onDrain(() => controller.resume());
  }

  private collectChunk(chunk: Buffer): void {
    const { answer } = this.plan.exchange;
    this.bytes += chunk.length;
    this.chunks.push(chunk);
    if (this.bytes <= MAX_WHOLE_BYTES || !this.head || !isSuccess(this.head.status)) return;
    // Too large to be held until it is whole; a cut answer then ends as a cut connection.
    const { status, forwarded } = this.head;
    this.phase = 'stream';
    answer.start({ status, headers: forwarded, contentLength: undefined });
    this.chunks.splice(0).forEach((held) => answer.write(held));
  }

  private finish(): AttemptResult {
    const { answer } = this.plan.exchange;
    const { head } = this;
    if (!head) return { kind: 'unknown', reason: 'no head' };
    if (this.phase === 'stream') {
      answer.finish();
      return { kind: 'answered' };
    }
    if (head.isMisdirected) {
      const { upstreamId } = this.plan.upstream;
      const isOther = head.answeredBy !== undefined && head.answeredBy !== upstreamId;
      return { kind: 'not-run', reason: isOther ? 'moved' : 'misdirected' };
    }
    if (head.isNotExecuted) return { kind: 'not-run', reason: 'refused' };
    if (PROMISES.has(head.status)) return { kind: 'unknown', reason: `status ${head.status}` };
    const body = Buffer.concat(this.chunks);
    if (head.status >= FIRST_FAILURE) return { kind: 'failed', head, body };
    answer.start({ status: head.status, headers: head.forwarded, contentLength: body.length });
    answer.finish(body);
    return { kind: 'answered' };
  }

  private explainError(error: Error): AttemptResult {
    if (this.phase === 'dropped') return { kind: 'not-run', reason: 'cancelled' };
    if (this.phase === 'offered') return { kind: 'not-run', reason: 'unreachable' };
    if (this.phase === 'stream') return { kind: 'broken' };
    return { kind: 'unknown', reason: error.message };
  }
}
