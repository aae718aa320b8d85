import type { RouteRule, ServiceName, UpstreamId } from '@goldcrestscale/core';
import type { AttemptResult } from './attemptResult.js';
import { EventSplitter } from './eventSplitter.js';

/** What the attempts at one request share. */
export class Progress {
  readonly excluded = new Set<UpstreamId>();

  /** Present where a stream may go on at another upstream. */
  readonly events: EventSplitter | undefined;

  /** Attempts so far. */
  sends = 0;

  /** Attempts that ran, or may have. */
  runs = 0;

  /** The last answer with a failure of an upstream's own. */
  lastFailure: Extract<AttemptResult, { kind: 'failed' }> | undefined;

  constructor(
    readonly service: ServiceName,
    route: RouteRule,
  ) {
    this.events = route.resumable ? new EventSplitter() : undefined;
  }

  noteSend(): void {
    this.sends += 1;
  }

  noteRun(upstreamId: UpstreamId): void {
    this.runs += 1;
    this.excluded.add(upstreamId);
  }

  noteFailure(failure: Extract<AttemptResult, { kind: 'failed' }>): void {
    this.lastFailure = failure;
  }
}
