import { BodyBuffer, ReadTurns } from '@goldcrestscale/runtime';
import { MIN_WAITING_READ_BYTES, RELAY_TURN_BYTES, RELAY_TURN_MS } from '../constants.js';
import type { CallerResponse } from '../http/callerResponse.js';
import type { ResponseFlow } from './connectionExchange.js';

/** Turns of all responses that are passed on: a process has one event loop. */
const relayTurns = new ReadTurns({
  maxBytes: RELAY_TURN_BYTES,
  spanMs: RELAY_TURN_MS,
  minBytes: MIN_WAITING_READ_BYTES,
});

/**
 * Passes a response on to its caller, all that came in one read in one write: each write takes objects
 * and time of its own, however small it is.
 */
export class StreamRelay {
  private readonly pending = new BodyBuffer();

  private isScheduled = false;

  private isCongested = false;

  /** Whether other responses go first. */
  private isWaiting = false;

  /** Bytes that have been added since the last flush. */
  private addedBytes = 0;

  constructor(
    private readonly response: CallerResponse,
    private readonly flow: ResponseFlow,
  ) {}

  /** Adds data, which is written at the end of this turn of the event loop. */
  add(data: Buffer): void {
    if (data.length === 0) return;
    this.pending.add(data);
    this.addedBytes += data.length;
    if (this.isScheduled) return;
    this.isScheduled = true;
    process.nextTick(() => this.flush());
  }

  /** Writes what has been added; reads no more of the response while the caller's connection is congested. */
  flush(): void {
    this.isScheduled = false;
    const canContinue = this.pending
      .take()
      .map((part) => this.response.write(part))
      .every(Boolean);
    this.waitForTurn();
    if (canContinue || this.isCongested) return;
    this.isCongested = true;
    this.flow.pause();
    this.response.onDrain(() => {
      this.isCongested = false;
      this.resume();
    });
  }

  private waitForTurn(): void {
    const bytes = this.addedBytes;
    this.addedBytes = 0;
    if (relayTurns.tryTake(bytes) || this.isWaiting) return;
    this.isWaiting = true;
    this.flow.pause();
    relayTurns.wait(() => {
      this.isWaiting = false;
      this.resume();
    });
  }

  private resume(): void {
    if (!this.isCongested && !this.isWaiting) this.flow.resume();
  }
}
