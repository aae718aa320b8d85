import { MIN_SURVIVAL_EVENTS } from '@goldcrestscale/core';
import type { TrackedUpstream } from '@goldcrestscale/core';
import type { InputBarrier } from '@goldcrestscale/runtime';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import { requireRoute } from '../filters/gatewayExchange.js';
import type { ResponseHead, AttemptMetadata, UpstreamProtocol } from '../ports/index.js';
import { findAbandonReason } from './abandonReason.js';
import type { AttemptResult } from './attemptResult.js';
import type { WithheldSend } from './sendGate.js';
import { EventScanner } from './eventScanner.js';
import type { EventSplitter } from './eventSplitter.js';
import type { UpstreamConnection } from './upstreamConnection.js';
import { ConnectionError, findConnectFailure } from './connectionError.js';
import { FaultError } from './faultError.js';
import { InvalidResponseError } from './invalidResponseError.js';
import type { AbandonReason } from './invalidResponseError.js';
import { isOwnError } from './ownError.js';
import { ResponseBuffer } from './responseBuffer.js';
import { ResponseMemoryError } from './responseMemoryError.js';
import { ResponseSize } from './responseSize.js';
import { StreamRelay } from './streamRelay.js';
import type {
  BodyFraming,
  ExchangeHandler,
  RawResponseHead,
  ResponseFlow,
} from './connectionExchange.js';

/** Options of an attempt. */
export interface AttemptOptions {
  readonly exchange: GatewayExchange;
  readonly upstream: TrackedUpstream;
  readonly connection: UpstreamConnection;
  readonly protocol: UpstreamProtocol;
  readonly inputBarrier: InputBarrier;
  /**
   * Decides right before the write whether the request may still be sent, and takes what it needs.
   *
   * @returns why it may not; an error ends the request
   */
  readonly claimSend: () => AttemptMetadata | WithheldSend;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  /** Shared by the attempts at one resumable stream. */
  readonly eventSplitter: EventSplitter | undefined;
  readonly onResponseHead: (head: ResponseHead) => void;
  /** Called before the first event of a resumable stream is passed on. */
  readonly onFirstEvent: () => void;
}

type Phase = 'offered' | 'sent' | 'whole' | 'stream' | 'dropped';

/** Statuses that imply that the request was not executed; trusted only with the upstream's proof. */
const UNEXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Status of a stream; another success has no events, or only some of them. */
const OK_STATUS = 200;

/** Whether a status tells that the upstream ran the request as asked. */
export const isSuccess = (status: number): boolean => status >= 200 && status < 300;

const MIN_SERVER_ERROR_STATUS = 500;

const NO_BYTES = Buffer.alloc(0);

const EVENT_STREAM_TYPE = 'text/event-stream';

const isEventStream = ({ 'content-type': type }: RawResponseHead['headers']): boolean =>
  type === undefined || type.toLowerCase().startsWith(EVENT_STREAM_TYPE);

/** Sends one request over one connection, relays the response and reports the result. */
export class UpstreamAttempt implements ExchangeHandler {
  private phase: Phase = 'offered';

  private head: ResponseHead | undefined;

  private buffer: ResponseBuffer | undefined;

  private relay: StreamRelay | undefined;

  private size: ResponseSize | undefined;

  private resolveResult: ((result: AttemptResult) => void) | undefined;

  private isStreamOpen = false;

  private readonly eventScanner = new EventScanner();

  /** Whether the connection ended during the exchange, by no doing of this VM or one between. */
  private isConnectionLost = false;

  /** Whether this VM ended the exchange itself. */
  private isAbandoned = false;

  private hasFinished = false;

  private isConnected = false;

  /** Whether the request was passed to the connection. */
  hasSent = false;

  /** Unexpected error of this program that ended the exchange. */
  fault: FaultError | undefined;

  /** Why the response was given up; undefined for one that was taken. */
  abandonment: { readonly reason: AbandonReason; readonly message: string } | undefined;

  /** How the end of the response is marked; undefined before its head. */
  framing: BodyFraming | undefined;

  constructor(private readonly options: AttemptOptions) {}

  /** Whether the upstream lost the connection while it was beginning its answer. */
  get crashedAtBeginning(): boolean {
    if (!this.isConnectionLost) return false;
    const { streaming } = requireRoute(this.options.exchange);
    return streaming ? this.isStreamOpen && !this.hasPassedBeginning : !this.hasFinished;
  }

  /** Whether the upstream got past the beginning of its answer. */
  get survivedBeginning(): boolean {
    if (!this.head || !isSuccess(this.head.status)) return false;
    return this.hasFinished || this.hasPassedBeginning;
  }

  /**
   * Whether the connection may carry another request. An upstream may write a response once more, and
   * nothing would tell the next request that one without an id is not its own.
   */
  get isReusable(): boolean {
    if (!this.hasSent) return this.isConnected;
    return this.hasFinished && this.head?.requestId !== undefined;
  }

  /** Whether any response head has come. */
  get hasHead(): boolean {
    return this.head !== undefined;
  }

  /** Whether the connection was lost before the upstream survived the request. */
  get lostRequest(): boolean {
    return this.isConnectionLost && !this.hasPassedBeginning;
  }

  /** Whether the upstream ran the request and lives on, whatever it answered. */
  get survivedRequest(): boolean {
    if (!this.head || this.head.isNotExecuted || this.head.isMisdirected) return false;
    const isOver = this.hasFinished && !UNEXECUTED_STATUSES.has(this.head.status);
    return isOver || this.hasPassedBeginning;
  }

  /** Number of bytes of a stream that belong to no complete event. */
  get partialEventBytes(): number {
    return this.eventScanner.partialEventBytes;
  }

  async run(): Promise<AttemptResult> {
    const { connection, signal } = this.options;
    const cancel = (): void => {
      this.isAbandoned = true;
      this.phase = this.phase === 'offered' ? 'dropped' : this.phase;
      // A connection that has carried nothing of this request can carry another one.
      if (this.hasSent) connection.abort();
      else if (!this.isConnected) connection.close();
    };
    const ended = new Promise<AttemptResult>((resolve) => {
      this.resolveResult = resolve;
    });
    signal.addEventListener('abort', cancel, { once: true });
    try {
      return (await this.send()) ?? (await ended);
    } finally {
      signal.removeEventListener('abort', cancel);
      if (this.isStreamOpen) this.options.upstream.recordStreamEnd();
    }
  }

  /** @returns the result if the request was not sent */
  private async send(): Promise<AttemptResult | undefined> {
    const { connection, inputBarrier } = this.options;
    try {
      await connection.waitForOpen();
    } catch (error) {
      return this.buildErrorResult(error as Error);
    }
    this.isConnected = true;
    return inputBarrier.run(() => this.sendNow());
  }

  /** Nothing may be awaited between the checks and the write. */
  private sendNow(): AttemptResult | undefined {
    const { exchange, connection, protocol, claimSend } = this.options;
    if (this.phase === 'dropped') return { kind: 'not-run', reason: 'cancelled' };
    if (!connection.isOpen) return { kind: 'withheld', reason: 'connection closed' };
    const claim = claimSend();
    if ('withheld' in claim) return { kind: 'withheld', reason: claim.withheld };
    const headers = protocol.buildHeaders(exchange, claim);
    const { method, target: path, body } = exchange;
    this.hasSent = true;
    connection.send({ method, path, headers, body }, this);
    return undefined;
  }

  onSend(): void {
    if (this.phase !== 'dropped') this.phase = 'sent';
  }

  onHead({ status, headers, rawHeaders, framing }: RawResponseHead, flow: ResponseFlow): void {
    this.framing = framing;
    const { protocol, exchange, onResponseHead } = this.options;
    const head = protocol.parseResponseHead(status, headers, rawHeaders);
    this.head = head;
    const rejectionReason = this.findRejectionReason(head, 'content-encoding' in headers);
    if (rejectionReason !== undefined) {
      this.abandon(flow, new InvalidResponseError(rejectionReason, 'mismatch'));
      return;
    }
    onResponseHead(head);
    this.options.upstream.recordActivity();
    const isStream =
      requireRoute(exchange).streaming && status === OK_STATUS && isEventStream(headers);
    this.phase = isStream ? 'stream' : 'whole';
    const declaredBytes = framing === 'length' ? Number(headers['content-length']) : undefined;
    this.buffer = new ResponseBuffer(exchange.reservation, declaredBytes);
    this.relay = new StreamRelay(exchange.response, flow);
    this.size = new ResponseSize();
    if (isStream) this.startStream(head);
  }

  onData(chunk: Buffer, flow: ResponseFlow): void {
    this.options.upstream.recordActivity();
    this.size?.add(chunk);
    if (this.phase === 'stream') this.relayChunk(flow, chunk);
    else if (this.phase === 'whole') this.collectChunk(flow, chunk);
    const excess = this.size?.findExcess(chunk, {
      isBuffered: this.phase === 'whole',
      partialEventBytes: this.partialEventBytes,
    });
    if (excess !== undefined) this.abandon(flow, excess);
  }

  onEnd(): void {
    this.relay?.flush();
    const failure = this.findTruncation();
    if (failure !== undefined) {
      this.isConnectionLost = true;
      this.fail(new ConnectionError(failure));
      return;
    }
    const result = this.finish();
    this.hasFinished = true;
    this.resolveResult?.(result);
  }

  onError(error: Error): void {
    this.relay?.flush();
    if (error instanceof FaultError) this.fault = error;
    const reason = findAbandonReason(error);
    if (reason !== undefined) this.abandonment = { reason, message: error.message };
    const isEndedHere =
      this.isAbandoned || isOwnError(error) || error instanceof InvalidResponseError;
    this.isConnectionLost = this.phase !== 'offered' && !isEndedHere;
    this.fail(error);
  }

  /** Ends the attempt without a response; nothing that it held has to wait for the end of the request. */
  private fail(error: Error): void {
    this.buffer?.discard();
    this.options.eventSplitter?.reset();
    this.resolveResult?.(this.buildErrorResult(error));
  }

  /** Finds out why a response that ended without an error is incomplete; undefined if it is whole. */
  private findTruncation(): string | undefined {
    if (this.options.connection.wasReset) return 'connection reset during the response';
    if (!this.isStreamOpen) return undefined;
    if (this.eventScanner.partialEventBytes > 0) return 'stream ended inside an event';
    if (this.options.eventSplitter?.isEventMissing)
      return 'resumed stream ended without the event that had begun';
    const isEmpty = this.eventScanner.eventCount === 0;
    // An engine that crashes before its first event closes the connection in the same way.
    return isEmpty && this.framing === 'connection' ? 'stream ended without an event' : undefined;
  }

  /** Finds out why a response is rejected; undefined if it is the upstream's response to this send. */
  private findRejectionReason(head: ResponseHead, isEncoded: boolean): string | undefined {
    const { requestId } = head;
    if (requestId !== undefined && requestId !== this.options.exchange.head.requestId)
      return 'response is for another request';
    const isProved = requestId !== undefined && head.isSigned && !isEncoded;
    return isSuccess(head.status) && !isProved
      ? 'response encoded, unsigned or without request id'
      : undefined;
  }

  private get hasPassedBeginning(): boolean {
    return this.eventScanner.eventCount >= MIN_SURVIVAL_EVENTS;
  }

  private abandon(flow: ResponseFlow, error: Error): void {
    this.isAbandoned = true;
    flow.abort(error);
  }

  private startStream(head: ResponseHead): void {
    const { response } = this.options.exchange;
    this.options.eventSplitter?.reset();
    this.options.upstream.recordStreamStart();
    this.isStreamOpen = true;
    response.start({
      status: head.status,
      headers: head.forwardedHeaders,
      contentLength: undefined,
    });
  }

  private relayChunk(flow: ResponseFlow, chunk: Buffer): void {
    // A response that is streamed only for its size has no events.
    const eventSplitter = this.isStreamOpen ? this.options.eventSplitter : undefined;
    const eventEnds = this.isStreamOpen ? this.eventScanner.scan(chunk) : [];
    if (!eventSplitter) {
      this.relay?.add(chunk);
      return;
    }
    const { events, hasRoom, neededBytes } = eventSplitter.push(chunk, eventEnds);
    if (events.length > 0) this.options.onFirstEvent();
    // A resumption begins behind these events, so they are passed on also if the stream is given up.
    this.relay?.add(events);
    if (!hasRoom) {
      this.abandon(flow, new ResponseMemoryError('no memory for an event', neededBytes));
    }
  }

  private collectChunk(flow: ResponseFlow, chunk: Buffer): void {
    const { response } = this.options.exchange;
    const { head } = this;
    const canStream = head && isSuccess(head.status) && !response.isHeadSent;
    if (this.buffer?.tryAdd(chunk)) return;
    if (!canStream) {
      // A failure that is too large is refused as invalid.
      if (this.size?.isTooLargeToBuffer) return;
      const neededBytes = this.buffer?.computeNeed(chunk) ?? chunk.length;
      this.abandon(flow, new ResponseMemoryError('no memory for the response', neededBytes));
      return;
    }
    // Too large to buffer, or no memory for it: stream it. If it is then cut short, the caller's
    // connection is cut as well.
    const { status, forwardedHeaders } = head;
    this.phase = 'stream';
    response.start({ status, headers: forwardedHeaders, contentLength: undefined });
    [...(this.buffer?.take() ?? []), chunk].forEach((part) => this.relay?.add(part));
  }

  private finish(): AttemptResult {
    const { response } = this.options.exchange;
    const { head } = this;
    if (!head) return { kind: 'unknown', reason: 'no response head' };
    if (this.phase === 'stream') {
      response.finish();
      return { kind: 'answered' };
    }
    if (head.isMisdirected) {
      const { upstreamId } = this.options.upstream;
      const isOtherUpstream =
        head.respondingUpstreamId !== undefined && head.respondingUpstreamId !== upstreamId;
      return { kind: 'not-run', reason: isOtherUpstream ? 'moved' : 'misdirected' };
    }
    if (head.isNotExecuted) return { kind: 'not-run', reason: 'refused' };
    if (UNEXECUTED_STATUSES.has(head.status))
      return { kind: 'unknown', reason: `status ${head.status}` };
    const body = this.buffer?.build() ?? NO_BYTES;
    // A caller that already has a part of a stream can't be given another response.
    if (head.status >= MIN_SERVER_ERROR_STATUS || response.isHeadSent)
      return { kind: 'failed', head, body };
    response.start({
      status: head.status,
      headers: head.forwardedHeaders,
      contentLength: body.length,
    });
    response.finish(body);
    return { kind: 'answered' };
  }

  private buildErrorResult(error: Error): AttemptResult {
    if (this.phase === 'dropped') return { kind: 'not-run', reason: 'cancelled' };
    if (this.phase === 'offered') return { kind: 'not-run', reason: findConnectFailure(error) };
    const neededBytes = error instanceof ResponseMemoryError ? error.neededBytes : undefined;
    const isOwnFailure = isOwnError(error) || neededBytes !== undefined;
    const kind = this.phase === 'stream' ? 'broken' : 'unknown';
    return { kind, reason: error.message, isOwnFailure, neededBytes };
  }
}
