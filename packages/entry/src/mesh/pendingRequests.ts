import { MAX_PENDING_REQUESTS } from './constants.js';
import { MeshError } from './meshError.js';

interface PendingRequest {
  readonly resolve: (payload: unknown) => void;
  readonly reject: (error: Error) => void;
}

/** Requests of one connection that wait for their reply. */
export class PendingRequests {
  private readonly requests = new Map<number, PendingRequest>();

  private lastId = 0;

  /**
   * Sends a request and waits until it is settled, aborted or late.
   *
   * @param send writes the request; what it throws fails the request
   * @param cancel tells the peer that nobody waits any more
   */
  add(
    signal: AbortSignal,
    timeoutMs: number,
    send: (id: number) => void,
    cancel: (id: number) => void,
  ): Promise<unknown> {
    if (signal.aborted) return Promise.reject(new MeshError('aborted', 'aborted'));
    if (this.requests.size >= MAX_PENDING_REQUESTS) {
      return Promise.reject(new MeshError('too many requests wait for this peer', 'overloaded'));
    }
    this.lastId += 1;
    const id = this.lastId;
    const ended = new AbortController();
    const waiting = new Promise<unknown>((resolve, reject) => {
      this.requests.set(id, { resolve, reject });
    });
    const abortWith = (error: MeshError): void => {
      cancel(id);
      this.fail(id, error);
    };
    const timer = setTimeout(
      () => abortWith(new MeshError('no reply in time', 'timeout')),
      timeoutMs,
    );
    signal.addEventListener('abort', () => abortWith(new MeshError('aborted', 'aborted')), {
      signal: ended.signal,
    });
    try {
      send(id);
    } catch (error) {
      this.fail(id, error as Error);
    }
    return waiting.finally(() => {
      clearTimeout(timer);
      ended.abort();
    });
  }

  /** Settles a request with its reply; a late reply is dropped. */
  complete(id: number, payload: unknown): void {
    this.take(id)?.resolve(payload);
  }

  /** Settles a request with an error. */
  fail(id: number, error: Error): void {
    this.take(id)?.reject(error);
  }

  /** Settles every request with an error. */
  failAll(error: Error): void {
    [...this.requests.keys()].forEach((id) => this.fail(id, error));
  }

  private take(id: number): PendingRequest | undefined {
    const request = this.requests.get(id);
    this.requests.delete(id);
    return request;
  }
}
