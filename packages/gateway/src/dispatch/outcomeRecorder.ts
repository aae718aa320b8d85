import { combineVerdicts } from '@goldcrestscale/core';
import type {
  AnnouncedRates,
  EjectionPolicy,
  RejectionLimits,
  RunTimes,
  TrackedUpstream,
  UpstreamPaces,
  UpstreamReach,
  UpstreamRegistry,
} from '@goldcrestscale/core';
import { UPSTREAM_REFUSAL_BACKOFF_MS } from '../constants.js';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import type { GatewayMetrics } from '../metrics.js';
import type { ResponseHead } from '../ports/index.js';
import type { RequestLog } from '../requestLog.js';
import type { AttemptResult, NotRunReason } from './attemptResult.js';
import type { ConnectionPool } from './connectionPool.js';
import type { RequestProgress } from './requestProgress.js';
import type { UpstreamChoice, UpstreamChooser } from './upstreamChooser.js';

/** Dependencies of the recorder. */
export interface OutcomeRecorderOptions {
  readonly ejection: EjectionPolicy;
  readonly chooser: Pick<UpstreamChooser, 'prefillRate' | 'dropSentParts'>;
  readonly connections: ConnectionPool;
  readonly metrics: GatewayMetrics;
  readonly registry: UpstreamRegistry;
  readonly reach: Pick<UpstreamReach, 'isCutOff'>;
  readonly announcedRates: AnnouncedRates;
  readonly rejectionLimits: RejectionLimits;
  readonly runTimes: RunTimes;
  readonly paces: UpstreamPaces;
  readonly requestLog: RequestLog;
}

type FailedResult = Exclude<AttemptResult, { kind: 'answered' | 'withheld' }>;

const MIN_SERVER_ERROR_STATUS = 500;

/** Applies the outcome of an attempt to the upstream's state, the request and the connection pool. */
export class OutcomeRecorder {
  constructor(private readonly options: OutcomeRecorderOptions) {}

  recordResponseHead(
    exchange: GatewayExchange,
    upstream: TrackedUpstream,
    head: ResponseHead,
  ): void {
    const { metrics } = this.options;
    metrics.observeFirstByte(performance.now() - exchange.receivedAtMs);
    this.recordAnnouncements(exchange, upstream, head);
    if (head.load) upstream.recordLoad(head.load);
    if (head.coldRemainingMs) upstream.markCold(head.coldRemainingMs);
    const model = exchange.head.prompt?.model;
    if (model !== undefined && head.weights !== undefined) {
      upstream.recordWeights(model, head.weights);
    }
    if (head.status < MIN_SERVER_ERROR_STATUS) upstream.clearBusy();
  }

  /**
   * Records a response that was passed on in full; a head alone is no success.
   *
   * @param runMs time from the choice of the upstream to the end of the response, in milliseconds
   */
  recordSuccess({ upstreamId, registered }: TrackedUpstream, runMs: number): void {
    this.options.ejection.recordOutcome(upstreamId, 'success');
    this.options.runTimes.record(registered.service, runMs);
  }

  recordFailure(
    exchange: GatewayExchange,
    choice: UpstreamChoice,
    progress: RequestProgress,
    result: FailedResult,
  ): void {
    const { upstream } = choice;
    const { upstreamId } = upstream;
    if (result.kind === 'not-run') {
      this.recordNotExecuted(upstream, progress, result.reason);
      return;
    }
    progress.recordExecution(upstreamId);
    if (result.kind === 'failed') {
      progress.recordFailure(result);
      exchange.verdict = combineVerdicts(exchange.verdict, 'ran');
      this.recordUpstreamFailure(exchange, choice);
      return;
    }
    exchange.verdict = combineVerdicts(exchange.verdict, 'may-have-run');
    const isNeutral =
      exchange.signal.aborted || result.isOwnFailure === true || this.options.reach.isCutOff;
    if (isNeutral) {
      this.options.ejection.recordOutcome(upstreamId, 'neutral');
      return;
    }
    upstream.markSuspectedCold();
    this.recordUpstreamFailure(exchange, choice);
  }

  private recordUpstreamFailure(
    exchange: GatewayExchange,
    { upstream, prefillTokens }: UpstreamChoice,
  ): void {
    const { ejection, chooser } = this.options;
    chooser.dropSentParts(exchange, upstream);
    this.options.paces.find(upstream)?.recordFailure();
    ejection.recordOutcome(upstream.upstreamId, 'failure');
    // An ejected upstream gets only probes, which must not wait until its failures are forgotten.
    if (ejection.getState(upstream.upstreamId) !== 'closed') {
      upstream.failureLoad.clear();
      return;
    }
    upstream.failureLoad.record({
      runMs: this.options.runTimes.findMeanMs(upstream.registered.service),
      prefillMs: prefillTokens / chooser.prefillRate.tokensPerMs,
    });
  }

  /** Records that the upstream wants fewer requests or none, for good or for a while. */
  private recordAnnouncements(
    exchange: GatewayExchange,
    upstream: TrackedUpstream,
    head: ResponseHead,
  ): void {
    const { isLeaving, restMs, invalidRest, announcedRate, rejectionLimit } = head;
    const { registry, requestLog, announcedRates, rejectionLimits } = this.options;
    const { upstreamId, registered } = upstream;
    const { requestId: id } = exchange.head;
    if (isLeaving && registry.recordLeaving(upstreamId, registered.startedAtMs)) {
      requestLog.log('upstream leaves', { id, upstreamId });
    }
    if (restMs !== undefined) {
      upstream.markResting(restMs);
      requestLog.log('upstream rests', { id, upstreamId, restMs });
    }
    if (invalidRest !== undefined) {
      requestLog.log('ignoring invalid rest of upstream', { id, upstreamId, invalidRest });
    }
    // Another upstream may answer at the address of one that is gone.
    if ((head.respondingUpstreamId ?? upstreamId) !== upstreamId) return;
    if (announcedRate.invalid === undefined) {
      announcedRates.record(registered, announcedRate.perSecond);
    } else {
      const { invalid } = announcedRate;
      requestLog.log('ignoring invalid rate limit of upstream', { id, upstreamId, invalid });
    }
    if (rejectionLimit.invalid === undefined) {
      rejectionLimits.record(registered.service, rejectionLimit.perSecond);
    } else {
      const { invalid } = rejectionLimit;
      requestLog.log('ignoring invalid rejection limit of upstream', { id, upstreamId, invalid });
    }
  }

  private recordNotExecuted(
    upstream: TrackedUpstream,
    progress: RequestProgress,
    reason: NotRunReason,
  ): void {
    const { ejection, connections, reach, rejectionLimits, paces } = this.options;
    ejection.recordOutcome(upstream.upstreamId, 'neutral');
    if (reason === 'refused') {
      upstream.markBusy(UPSTREAM_REFUSAL_BACKOFF_MS);
      rejectionLimits.recordRejection(upstream);
      paces.find(upstream)?.recordFailure();
    }
    if (reason === 'no-connection') upstream.markLackingConnection(UPSTREAM_REFUSAL_BACKOFF_MS);
    if (reason === 'no-socket') connections.reportMissingSocket(upstream.registered.address);
    // The links of a VM that is cut off are no sign against an upstream.
    if ((reason === 'unreachable' && !reach.isCutOff) || reason === 'moved') {
      upstream.markDown();
      upstream.markSuspectedCold();
      connections.closeIdle(upstream.registered.address);
    }
    // After one mismatch of weights, the same upstream may accept a retry with the version it reported.
    const isRepeatable = reason === 'misdirected' && progress.sends.arrivals <= 1;
    if (!isRepeatable && reason !== 'no-path') progress.excluded.add(upstream.upstreamId);
  }
}
