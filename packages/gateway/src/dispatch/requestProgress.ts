import { SendCounts } from '@goldcrestscale/core';
import type { RequestTrial, RouteRule, ServiceName, UpstreamId } from '@goldcrestscale/core';
import type { ByteReservation } from '@goldcrestscale/runtime';
import type { AttemptResult } from './attemptResult.js';
import { EventSplitter } from './eventSplitter.js';
import type { UpstreamConnection } from './upstreamConnection.js';

/** State that is shared by the attempts at one request. */
export class RequestProgress {
  readonly excluded = new Set<UpstreamId>();

  /** Connections on which it was sent; a repeated answer to it may still come there. */
  readonly usedConnections = new Set<UpstreamConnection>();

  /** Defined if a broken stream may be resumed at another upstream. */
  readonly eventSplitter: EventSplitter | undefined;

  readonly sends = new SendCounts();

  /** Number of permits that were requested under rate limits. */
  permitRequests = 0;

  /** Number of attempts that were executed or may have been. */
  executions = 0;

  /** Whether upstreams crashed under it, or may have; another attempt might end one more. */
  isSuspect = false;

  /** Whether a connection was lost while an upstream was running it. */
  hasLoss = false;

  private roomWaitSinceMs: number | undefined;

  private trial: RequestTrial | undefined;

  /** The most recent server error that an upstream returned. */
  lastFailure: Extract<AttemptResult, { kind: 'failed' }> | undefined;

  constructor(
    readonly service: ServiceName,
    route: RouteRule,
    reservation: ByteReservation,
  ) {
    this.eventSplitter = route.resumable ? new EventSplitter(reservation) : undefined;
  }

  recordLoss(): void {
    this.hasLoss = true;
  }

  markSuspect(): void {
    this.isSuspect = true;
  }

  setTrial(trial: RequestTrial): void {
    this.trial = trial;
  }

  /** Takes the trial that the last send was; who takes it finishes it. */
  takeTrial(): RequestTrial | undefined {
    const { trial } = this;
    this.trial = undefined;
    return trial;
  }

  /** Returns the time since the first call, in milliseconds. */
  startRoomWait(): number {
    this.roomWaitSinceMs ??= performance.now();
    return performance.now() - this.roomWaitSinceMs;
  }

  recordPermitRequest(): void {
    this.permitRequests += 1;
  }

  recordExecution(upstreamId: UpstreamId): void {
    this.executions += 1;
    this.excluded.add(upstreamId);
  }

  recordFailure(failure: Extract<AttemptResult, { kind: 'failed' }>): void {
    this.lastFailure = failure;
  }
}
