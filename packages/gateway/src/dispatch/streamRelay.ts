import { BodyBuffer } from '@goldcrestscale/runtime';
import type { CallerResponse } from '../http/callerResponse.js';
import type { ResponseFlow } from './connectionExchange.js';

/**
 * Passes a response on to its caller, all that came in one read in one write: each write takes objects
 * and time of its own, however small it is.
 */
export class StreamRelay {
  private readonly pending = new BodyBuffer();

  private isScheduled = false;

  private isCongested = false;

  constructor(
    private readonly response: CallerResponse,
    private readonly flow: ResponseFlow,
  ) {}

  /** Adds data, which is written at the end of this turn of the event loop. */
  add(data: Buffer): void {
    if (data.length === 0) return;
    this.pending.add(data);
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
    if (canContinue || this.isCongested) return;
    this.isCongested = true;
    this.flow.pause();
    this.response.onDrain(() => {
      this.isCongested = false;
      this.flow.resume();
    });
  }
}
