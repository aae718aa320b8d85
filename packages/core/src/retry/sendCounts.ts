import { canHaveArrived } from './arrival.js';
import type { SendEnd } from './arrival.js';

/** Counts the sends of one request that have ended, by what they cost. */
export class SendCounts {
  /** Sends that may have arrived at an upstream; each after the first is a repeat. */
  arrivals = 0;

  /** Sends for which no connection could be opened. */
  unreached = 0;

  /** Sends that a check, or the end of the wait for them, kept from being written. */
  withheld = 0;

  /** How the last of them ended. */
  lastEnd: SendEnd | undefined;

  /** Whether the next send is no repeat, since none before it can have arrived. */
  get isNextFree(): boolean {
    return this.arrivals === 0;
  }

  recordEnd(end: SendEnd): void {
    this.lastEnd = end;
    if (canHaveArrived(end)) this.arrivals += 1;
    else if (end === 'unreachable') this.unreached += 1;
    else this.withheld += 1;
  }
}
