import type { AttemptId, BootId, Route, UpstreamView } from '@goldcrestscale/core';
import type { Exchange } from '../filters/exchange.js';
import type { RelayedEvents } from './relayedEvents.js';
import type { TokenUsage } from '../upstream/completionPayload.js';

/** One attempt to serve a request from one upstream. */
export interface Attempt {
  readonly attemptId: AttemptId;
  readonly exchange: Exchange;
  readonly upstream: UpstreamView;
  readonly route: Route;
  /** Aborts when the caller disconnects or the response has not started by the deadline. */
  readonly signal: AbortSignal;
  /** Stream events relayed to the caller so far, across all attempts. */
  readonly relayedEvents: RelayedEvents;
  /** Asserts that the caller still waits, and that the upstream may get requests. */
  readonly assertSendable: () => void;
  /**
   * Checks, right before the request is written, that it may be sent to the upstream process at
   * the other end of the connection, which the boot id identifies; throws if it may not.
   */
  readonly onBeforeSend: (connectionBootId: BootId) => void;
  /** Called once, when the first part of the response has been received. */
  onFirstByte(): void;
  /** Called with the token counts reported by the engine. */
  onUsage(usage: TokenUsage): void;
}

/** Runs attempts against one kind of upstream. */
export abstract class AttemptRunner {
  /**
   * Sends the request and relays the complete response to the caller.
   *
   * @throws GoldcrestError with the verdict on this attempt
   */
  abstract run(attempt: Attempt): Promise<void>;
}
