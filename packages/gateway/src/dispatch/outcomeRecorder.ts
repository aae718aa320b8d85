import { combineVerdicts } from '@goldcrestscale/core';
import type { EjectionPolicy, TrackedUpstream } from '@goldcrestscale/core';
import { REFUSAL_BACKOFF_MS } from '../constants.js';
import type { GatewayExchange } from '../filters/exchange.js';
import type { GatewayMetrics } from '../metrics.js';
import type { AnswerHead } from '../ports/index.js';
import type { AttemptResult } from './attemptResult.js';
import type { ConnectionPool } from './connectionPool.js';
import type { RequestProgress } from './progress.js';

/** Dependencies of the recorder. */
export interface OutcomeRecorderOptions {
  readonly ejection: EjectionPolicy;
  readonly connections: ConnectionPool;
  readonly metrics: GatewayMetrics;
}

type FailedResult = Exclude<AttemptResult, { kind: 'answered' }>;

type NotRunReason = Extract<AttemptResult, { kind: 'not-run' }>['reason'];

const MIN_SERVER_ERROR_STATUS = 500;

/** Applies the outcome of an attempt to the upstream's state, the request and the connection pool. */
export class OutcomeRecorder {
  constructor(private readonly options: OutcomeRecorderOptions) {}

  recordResponseHead(exchange: GatewayExchange, upstream: TrackedUpstream, head: AnswerHead): void {
    const { metrics, ejection } = this.options;
    metrics.observeFirstByte(performance.now() - exchange.receivedAtMs);
    if (head.load) upstream.noteLoad(head.load);
    if (head.coldRemainingMs) upstream.noteCold(head.coldRemainingMs);
    const model = exchange.head.prompt?.model;
    if (model !== undefined && head.weights !== undefined) {
      upstream.noteWeights(model, head.weights);
    }
    if (head.status >= MIN_SERVER_ERROR_STATUS) return;
    ejection.noteEnd(upstream.upstreamId, 'success');
    upstream.noteFree();
  }

  recordFailure(
    exchange: GatewayExchange,
    upstream: TrackedUpstream,
    progress: RequestProgress,
    result: FailedResult,
  ): void {
    const { ejection } = this.options;
    const { upstreamId } = upstream;
    if (result.kind === 'not-run') {
      this.recordNotExecuted(upstream, progress, result.reason);
      return;
    }
    progress.recordExecution(upstreamId);
    if (result.kind === 'failed') {
      progress.recordFailure(result);
      exchange.verdict = combineVerdicts(exchange.verdict, 'ran');
      ejection.noteEnd(upstreamId, 'neutral');
      return;
    }
    exchange.verdict = combineVerdicts(exchange.verdict, 'may-have-run');
    const isCancelled = exchange.signal.aborted;
    if (!isCancelled) upstream.noteBroken();
    ejection.noteEnd(upstreamId, isCancelled ? 'neutral' : 'failure');
  }

  private recordNotExecuted(
    upstream: TrackedUpstream,
    progress: RequestProgress,
    reason: NotRunReason,
  ): void {
    const { ejection, connections } = this.options;
    ejection.noteEnd(upstream.upstreamId, 'neutral');
    if (reason === 'refused') upstream.noteBusy(REFUSAL_BACKOFF_MS);
    if (reason === 'unreachable' || reason === 'moved') {
      upstream.noteDown();
      upstream.noteBroken();
      connections.closeIdle(upstream.registered.address);
    }
    // After one mismatch of weights, the same upstream may accept a retry with the version it reported.
    if (reason !== 'misdirected' || progress.attempts > 1)
      progress.excluded.add(upstream.upstreamId);
  }
}
