import { EventLoopBarrier } from '@goldcrestscale/runtime';
import { MAX_PENDING_REQUESTS_PER_PEER } from './constants.js';
import { MeshError } from './meshError.js';

interface PendingRequest {
  readonly resolve: (payload: unknown) => void;
  readonly reject: (error: Error) => void;
}

/** Requests of one connection that await their reply. */
export class PendingRequests {
  private readonly requests = new Map<number, PendingRequest>();

  private readonly inputBarrier = new EventLoopBarrier();

  private lastId = 0;

  /**
   * Sends a request and waits for its reply, an abort or the timeout.
   *
   * @param send writes the request; the request fails with any error it throws
   * @param cancel notifies the peer that the request was aborted or timed out
   */
  add(
    signal: AbortSignal,
    timeoutMs: number,
    send: (id: number) => void,
    cancel: (id: number) => void,
  ): Promise<unknown> {
    if (signal.aborted) return Promise.reject(new MeshError('aborted', 'aborted'));
    if (this.requests.size >= MAX_PENDING_REQUESTS_PER_PEER) {
      return Promise.reject(new MeshError('too many pending requests to this peer', 'overloaded'));
    }
    this.lastId += 1;
    const id = this.lastId;
    const settled = new AbortController();
    const reply = new Promise<unknown>((resolve, reject) => {
      this.requests.set(id, { resolve, reject });
    });
    const abortWith = (error: MeshError): void => {
      cancel(id);
      this.fail(id, error);
    };
    const timer = setTimeout(() => {
      // After a pause of the process, the reply may be there and not have been read yet.
      void this.inputBarrier.run(() => {
        if (!this.requests.has(id)) return;
        abortWith(new MeshError('no reply within the timeout', 'timeout'));
      });
    }, timeoutMs);
    signal.addEventListener('abort', () => abortWith(new MeshError('aborted', 'aborted')), {
      signal: settled.signal,
    });
    try {
      send(id);
    } catch (error) {
      this.fail(id, error as Error);
    }
    return reply.finally(() => {
      clearTimeout(timer);
      settled.abort();
    });
  }

  /** Resolves a request with its reply; a reply to a settled request is dropped. */
  complete(id: number, payload: unknown): void {
    this.remove(id)?.resolve(payload);
  }

  /** Rejects a request. */
  fail(id: number, error: Error): void {
    this.remove(id)?.reject(error);
  }

  /** Rejects all pending requests. */
  failAll(error: Error): void {
    [...this.requests.keys()].forEach((id) => this.fail(id, error));
  }

  private remove(id: number): PendingRequest | undefined {
    const request = this.requests.get(id);
    this.requests.delete(id);
    return request;
  }
}
