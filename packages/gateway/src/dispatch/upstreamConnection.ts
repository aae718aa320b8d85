import { request as openRequest } from 'node:http';
import type { VmId } from '@goldcrestscale/core';
import { splitAddress } from '../socketAddress.js';
import { KEEP_ALIVE_MARGIN_MS, MAX_CONNECTION_IDLE_MS } from '../constants.js';
import { ConnectionExchange } from './connectionExchange.js';
import type { ExchangeHandler } from './connectionExchange.js';
import { SingleConnectionAgent } from './singleConnectionAgent.js';
import { DirectLink } from './directLink.js';
import type { UpstreamLink } from './upstreamLink.js';

/** Maximum size of an upstream's response head. */
const MAX_HEADER_BYTES = 65_536;

const SECOND_MS = 1_000;

/** A request to send on a connection. */
export interface ConnectionRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Alternating names and values, without the length of the body. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Whether a request without a body still needs a content length. */
const hasBodySemantics = (method: string): boolean => !['GET', 'HEAD', 'DELETE'].includes(method);

const buildHeaders = ({ method, headers, body }: ConnectionRequest): string[] =>
  body.length > 0 || hasBodySemantics(method)
    ? [...headers, 'content-length', String(body.length)]
    : [...headers];

/** A connection to an upstream that carries one request at a time. */
export class UpstreamConnection {
  private idleSinceMs = performance.now();

  private readonly agent: SingleConnectionAgent;

  private readonly target: ReturnType<typeof splitAddress>;

  private open = true;

  private idleLimitMs = MAX_CONNECTION_IDLE_MS;

  private hasBeenReset = false;

  private retired = false;

  /** @param onClose called once, when either side has closed it or it could not be opened */
  constructor(
    address: string,
    private readonly onClose: () => void,
    private readonly link: UpstreamLink = new DirectLink(address),
  ) {
    this.target = splitAddress(address);
    this.agent = new SingleConnectionAgent(link, {
      onClose: () => this.markClosed(),
      onReset: () => {
        this.hasBeenReset = true;
      },
      onRetire: () => this.retire(),
    });
  }

  /** The VM through which it leads; undefined if it leads to the upstream directly. */
  get via(): VmId | undefined {
    return this.link.via;
  }

  /** Whether requests can still be sent on it. */
  get isOpen(): boolean {
    return this.open;
  }

  /** Whether it was reset, although the last response may look complete. */
  get wasReset(): boolean {
    return this.hasBeenReset;
  }

  /** Whether it is to be closed in place of kept for another request. */
  get isRetired(): boolean {
    return this.retired;
  }

  /** Whether it has been idle for so long that the upstream may have closed it. */
  get isStale(): boolean {
    return performance.now() - this.idleSinceMs > this.idleLimitMs;
  }

  /** Restarts the idle time after a complete response. */
  markIdle(): void {
    this.idleSinceMs = performance.now();
    this.agent.isInUse = false;
  }

  /** Waits until it is established. @throws the error that prevents it */
  waitForOpen(): Promise<void> {
    return this.agent.open();
  }

  /**
   * Writes a request to the established connection, in this turn of the event loop; the handler is
   * called only after this method has returned.
   */
  send(options: ConnectionRequest, handler: ExchangeHandler): void {
    const request = openRequest({
      ...this.target,
      agent: this.agent,
      method: options.method,
      path: options.path,
      headers: buildHeaders(options),
      maxHeaderSize: MAX_HEADER_BYTES,
    });
    this.agent.isInUse = true;
    request.once('response', ({ headers }) => this.applyKeepAlive(headers['keep-alive']));
    const exchange = new ConnectionExchange(request, handler);
    const endWait = this.link.beginWait();
    request.once('close', endWait);
    this.agent.onRead = (bytes) => {
      endWait();
      exchange.handleRead(bytes);
    };
    request.end(options.body);
  }

  close(): void {
    this.markClosed();
    this.agent.closeConnection();
  }

  /**
   * Resets it, so that what has not left this VM yet is discarded. After a regular close, the request
   * would still be sent, and the upstream would learn of the close only behind it.
   */
  abort(): void {
    this.markClosed();
    this.agent.resetConnection();
  }

  /** Closes it now, or leaves that to the end of the exchange on it. */
  private retire(): void {
    this.retired = true;
    if (!this.agent.isInUse) this.close();
  }

  private markClosed(): void {
    if (!this.open) return;
    this.open = false;
    this.onClose();
  }

  /** Applies the idle timeout of the upstream's keep-alive header, which is in seconds. */
  private applyKeepAlive(header: string | string[] | undefined): void {
    const seconds = Number(/timeout=(\d+)/i.exec(String(header ?? ''))?.[1] ?? NaN);
    if (Number.isFinite(seconds)) {
      this.idleLimitMs = Math.min(
        MAX_CONNECTION_IDLE_MS,
        seconds * SECOND_MS - KEEP_ALIVE_MARGIN_MS,
      );
    }
  }
}
