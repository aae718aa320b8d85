import type {
  AnnouncedRates,
  BlockDirectory,
  EjectionPolicy,
  FetchWindow,
  FleetRateLimits,
  FleetRetryBudget,
  CrashQuarantine,
  DeploymentView,
  NewPlaceRequest,
  PlaceAdmission,
  RejectionLimits,
  RunTimes,
  ServiceName,
  TrackedUpstream,
  UpstreamPaces,
  UpstreamReach,
  UpstreamRegistry,
} from '@goldcrestscale/core';
import type { InputBarrier } from '@goldcrestscale/runtime';
import {
  MAX_PERMIT_REQUESTS,
  MAX_RATE_WAIT_MS,
  RATE_WAIT_OBJECTIVE_FRACTION,
} from '../constants.js';
import { createAttemptLogEntry, describeResult } from '../dispatch/attemptLogEntry.js';
import { AttemptMetadataBuilder } from '../dispatch/attemptMetadataBuilder.js';
import { findSendEnd } from '../dispatch/attemptResult.js';
import type { AttemptResult } from '../dispatch/attemptResult.js';
import type { ConnectionPool } from '../dispatch/connectionPool.js';
import { CrashObserver } from '../dispatch/crashObserver.js';
import {
  assertWaiting,
  createNoUpstreamError,
  createOverloadError,
  sendFailure,
} from '../dispatch/dispatchErrors.js';
import { LoadReservation } from '../dispatch/loadReservation.js';
import { OutcomeRecorder } from '../dispatch/outcomeRecorder.js';
import { PlaceGate } from '../dispatch/placeGate.js';
import { RequestProgress } from '../dispatch/requestProgress.js';
import { ResendPolicy } from '../dispatch/resendPolicy.js';
import { ResponseReporter } from '../dispatch/responseReporter.js';
import { SendGate } from '../dispatch/sendGate.js';
import { SpeedObservation } from '../dispatch/speedObservation.js';
import { RoomWait } from '../dispatch/roomWait.js';
import type { StreamContinuity } from '../dispatch/streamContinuity.js';
import { UpstreamAttempt } from '../dispatch/upstreamAttempt.js';
import type {
  UpstreamChoice,
  UpstreamChooser,
  UpstreamDecision,
} from '../dispatch/upstreamChooser.js';
import type { UpstreamConnection } from '../dispatch/upstreamConnection.js';
import { UpstreamEnds } from '../dispatch/upstreamEnds.js';
import type { GatewayMetrics } from '../metrics.js';
import type { UpstreamProtocol } from '../ports/index.js';
import type { FaultRecorder } from '../faultRecorder.js';
import type { RequestLog } from '../requestLog.js';
import type { GatewayExchange } from './gatewayExchange.js';
import { getPriority, requireRoute } from './gatewayExchange.js';
import { GatewayFilter } from './gatewayFilter.js';
import { assertPromptAllowed, assertRequestAllowed } from './quarantineFilter.js';

/** Dependencies of the dispatch filter. */
export interface GatewayDispatchOptions {
  readonly chooser: UpstreamChooser;
  readonly connections: ConnectionPool;
  readonly inputBarrier: InputBarrier;
  readonly protocol: UpstreamProtocol;
  readonly retryBudget: FleetRetryBudget;
  readonly ejection: EjectionPolicy;
  readonly blocks: BlockDirectory;
  readonly fetchWindow: FetchWindow;
  readonly metrics: GatewayMetrics;
  readonly registry: UpstreamRegistry;
  readonly reach: UpstreamReach;
  readonly announcedRates: AnnouncedRates;
  readonly rateLimits: FleetRateLimits;
  readonly rejectionLimits: RejectionLimits;
  readonly runTimes: RunTimes;
  readonly paces: UpstreamPaces;
  readonly places: PlaceAdmission;
  /** Whether prompts wait for places. @default true */
  readonly admission?: boolean;
  readonly getView?: () => DeploymentView | undefined;
  /** Returns the time for which the log has been unavailable; undefined while it answers. */
  readonly estimateOutageMs?: (() => number | undefined) | undefined;
  readonly quarantine: CrashQuarantine;
  readonly requestLog: RequestLog;
  readonly streamContinuity: StreamContinuity;
  readonly faults: FaultRecorder;
  /** Whether this VM shuts down and takes no requests any more. */
  readonly isRefusing: () => boolean;
  /** Returns this VM's share of the connections that an upstream accepts. */
  readonly getConnectionShare: (service: ServiceName) => number;
  /** Called when an upstream has ended under a request, or one such request is tried. */
  readonly onRequestCrash: () => void;
  /** Called with the tokens that an engine has to prefill for a prompt that is being sent. */
  readonly onPromptSent: (tokens: number) => void;
}

/** Chooses an upstream, sends the request and retries it if the result allows. */
export class GatewayDispatchFilter extends GatewayFilter {
  override readonly name = 'dispatch';

  private readonly sendGate: SendGate;

  private readonly resendPolicy: ResendPolicy;

  private readonly roomWait: RoomWait;

  private readonly placeGate: PlaceGate;

  private readonly outcomeRecorder: OutcomeRecorder;

  private readonly crashObserver: CrashObserver;

  private readonly responseReporter: ResponseReporter;

  constructor(private readonly options: GatewayDispatchOptions) {
    super();
    this.sendGate = new SendGate(options, new AttemptMetadataBuilder(options));
    this.resendPolicy = new ResendPolicy(options.retryBudget);
    this.roomWait = new RoomWait(options);
    this.placeGate = new PlaceGate(options);
    this.outcomeRecorder = new OutcomeRecorder(options);
    this.responseReporter = new ResponseReporter(options);
    this.crashObserver = new CrashObserver({
      ...options,
      upstreamEnds: new UpstreamEnds(options.registry),
    });
  }

  override async handle(exchange: GatewayExchange): Promise<void> {
    const picked = this.options.chooser.pickService(exchange);
    if (picked === undefined) throw createNoUpstreamError();
    const route = requireRoute(exchange);
    const { streamContinuity } = this.options;
    const origin = await streamContinuity.resolveOrigin(exchange, picked, exchange.signal);

    exchange.streamVersion = origin?.version;
    const service = origin?.service ?? picked;
    this.options.retryBudget.recordRequest(service);
    const progress = new RequestProgress(service, route, exchange.reservation);
    // One controller for both causes is cheaper than AbortSignal.any.
    const controller = new AbortController();
    const abort = (): void => controller.abort();
    const remainingMs = Math.max(0, exchange.deadlineAtMs - performance.now());
    // After a pause, this timer runs before an answer that came in time is read.
    const timer = setTimeout(() => {
      void this.options.inputBarrier.run(abort);
    }, remainingMs);
    if (exchange.signal.aborted) abort();
    else exchange.signal.addEventListener('abort', abort, { once: true });
    let place: NewPlaceRequest | undefined;
    try {
      place = await this.placeGate.acquire(exchange, service, controller.signal);
      await this.runAttempts(exchange, progress, place, controller.signal);
    } finally {
      if (place) this.placeGate.release(place);
      clearTimeout(timer);
      exchange.signal.removeEventListener('abort', abort);
    }
  }

  private async runAttempts(
    exchange: GatewayExchange,
    progress: RequestProgress,
    place: NewPlaceRequest,
    signal: AbortSignal,
  ): Promise<void> {
    const { chooser } = this.options;
    for (;;) {
      assertWaiting(exchange, signal);
      this.assertAllowed(exchange);
      let choice = this.chooseUpstream(exchange, progress);
      while (!choice && (await this.roomWait.wait(exchange, progress, signal))) {
        assertWaiting(exchange, signal);
        this.assertAllowed(exchange);
        choice = this.chooseUpstream(exchange, progress);
      }
      if (choice && 'retryAfterMs' in choice && progress.sends.arrivals === 0) {
        throw createOverloadError(this.placeGate.scheduleReturn(place, choice));
      }
      if (!choice || 'retryAfterMs' in choice) {
        const { retryAfterMs } = choice ?? {
          retryAfterMs: this.placeGate.computeOutageRetryAfterMs(exchange, progress.service),
        };
        sendFailure(exchange, progress, retryAfterMs);
        return;
      }
      if (!chooser.hasPermit(choice.upstream)) {
        await this.acquirePermit(exchange, choice.upstream, progress);
      }
      const canTry = chooser.hasPermit(choice.upstream);
      if (canTry && (await this.tryUpstream(exchange, choice, progress, signal))) return;
    }
  }

  /** @returns whether the request needs no further attempt */
  private async tryUpstream(
    exchange: GatewayExchange,
    choice: UpstreamChoice,
    progress: RequestProgress,
    signal: AbortSignal,
  ): Promise<boolean> {
    const chosenAtMs = performance.now();
    this.placeGate.recordChoice(exchange, progress.service, choice);
    const result = await this.runAttempt(exchange, choice, progress, signal);
    this.options.metrics.countAttempt(progress.service, result.kind);
    progress.sends.recordEnd(findSendEnd(result));
    if (result.kind === 'answered') {
      exchange.verdict = 'ran';
      this.outcomeRecorder.recordSuccess(choice.upstream, performance.now() - chosenAtMs);
      return true;
    }
    if (result.kind !== 'withheld') {
      this.outcomeRecorder.recordFailure(exchange, choice, progress, result);
      assertWaiting(exchange, signal);
    }
    if (this.resendPolicy.canSendAgain(exchange, progress, result)) return false;
    sendFailure(exchange, progress);
    return true;
  }

  /** @throws a refusal if the request crashes upstreams */
  private assertAllowed(exchange: GatewayExchange): void {
    assertPromptAllowed(exchange, this.options.quarantine);
    assertRequestAllowed(exchange, this.options.quarantine);
  }

  private chooseUpstream(
    exchange: GatewayExchange,
    { service, excluded, permitRequests }: RequestProgress,
  ): UpstreamDecision | undefined {
    const { chooser } = this.options;
    return permitRequests < MAX_PERMIT_REQUESTS
      ? chooser.choose(exchange, service, excluded)
      : chooser.findShortestWait(exchange, service, excluded);
  }

  /** Requests a permit for an upstream with a rate limit. */
  private async acquirePermit(
    exchange: GatewayExchange,
    { registered }: TrackedUpstream,
    progress: RequestProgress,
  ): Promise<void> {
    const { objectiveMs } = requireRoute(exchange);
    progress.recordPermitRequest();
    await this.options.rateLimits.acquire(registered, {
      maxWaitMs: Math.min(MAX_RATE_WAIT_MS, objectiveMs * RATE_WAIT_OBJECTIVE_FRACTION),
      priority: getPriority(exchange),
    });
  }

  private claimSend(
    exchange: GatewayExchange,
    choice: UpstreamChoice,
    progress: RequestProgress,
    signal: AbortSignal,
  ): ReturnType<SendGate['claim']> {
    const claim = this.sendGate.claim(exchange, choice, progress, signal);
    if (!('withheld' in claim)) {
      this.crashObserver.recordSend(exchange, choice.upstream, progress);
    }
    return claim;
  }

  private acquireConnection(
    { upstreamId, registered: { address, service } }: TrackedUpstream,
    { usedConnections }: RequestProgress,
  ): UpstreamConnection | undefined {
    const share = this.options.getConnectionShare(service);
    return this.options.connections.acquire(address, share, usedConnections, upstreamId);
  }

  private async runAttempt(
    exchange: GatewayExchange,
    choice: UpstreamChoice,
    progress: RequestProgress,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const { connections, protocol, inputBarrier } = this.options;
    const { upstream, prefillTokens: tokens } = choice;
    const { address } = upstream.registered;
    const connection = this.acquireConnection(upstream, progress);
    if (!connection) return { kind: 'not-run', reason: 'no-connection' };
    const speed = new SpeedObservation(exchange, choice, this.options);
    const logEntry = createAttemptLogEntry(exchange, choice);
    const promptTokens = exchange.head.prompt?.inputTokens ?? 0;
    // Already now, so that other choices during the wait for the connection take it into account.
    const reservation = new LoadReservation(upstream, tokens, promptTokens);
    const attempt = new UpstreamAttempt({
      exchange,
      upstream,
      connection,
      protocol,
      inputBarrier,
      claimSend: () => {
        const claim = this.claimSend(exchange, choice, progress, signal);
        if (!('withheld' in claim)) speed.recordSend();
        return claim;
      },
      signal,
      eventSplitter: progress.eventSplitter,
      onFirstEvent: () => this.options.streamContinuity.recordFirstEvent(exchange, upstream),
      onResponseHead: (head) => {
        reservation.recordResponseStart();
        logEntry.headMs = Math.round(speed.recordHead(head));
        this.outcomeRecorder.recordResponseHead(exchange, upstream, head);
      },
    });
    exchange.attempts.push(logEntry);
    try {
      const result = await attempt.run();
      logEntry.via = connection.via;
      logEntry.outcome = describeResult(result);
      this.responseReporter.report(exchange, logEntry, { attempt, result });
      this.crashObserver.recordOutcome(exchange, upstream, attempt, progress);
      return result;
    } finally {
      progress.takeTrial()?.finish();
      if (!attempt.hasSent && logEntry.outcome === 'open') logEntry.outcome = 'withheld';
      reservation.release(attempt.hasSent);
      speed.finish();
      if (attempt.hasSent) progress.usedConnections.add(connection);
      if (attempt.isReusable) connections.release(address, connection);
      else connection.close();
    }
  }
}
