import type { AttemptId, BootId, Route, UpstreamView } from '@goldcrestscale/core';
import type { Exchange } from '../filters/exchange.js';
import type { TokenUsage } from '../upstream/completionPayload.js';

/** One try of a request at one upstream. */
export interface Attempt {
  readonly attemptId: AttemptId;
  readonly exchange: Exchange;
  readonly upstream: UpstreamView;
  readonly route: Route;
  /** Aborts when the caller has gone or the answer has not begun by the deadline. */
  readonly signal: AbortSignal;
  /** Payloads of the stream events that the caller has received, over all attempts. */
  readonly receivedEvents: string[];
  /**
   * Checks, right before the request is written, that it may be sent to the run of the upstream
   * at the other end of the connection; throws where it may not. Absent where nothing binds it.
   */
  readonly beginSend?: (connectionBootId: BootId) => void;
  /** Called once, when the first part of the answer has come. */
  onFirstByte(): void;
  /** Called with the token counts that the engine reports. */
  onUsage(usage: TokenUsage): void;
}

/** Runs attempts at one kind of upstream. */
export abstract class AttemptRunner {
  /**
   * Sends the request and relays the whole answer to the caller.
   *
   * @throws GoldcrestError with the verdict on this attempt
   */
  abstract run(attempt: Attempt): Promise<void>;
}
