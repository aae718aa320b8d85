import { combineVerdicts } from '@goldcrestscale/core';
import type { EjectionPolicy, TrackedUpstream } from '@goldcrestscale/core';
import { REFUSED_PAUSE_MS } from '../constants.js';
import type { GatewayExchange } from '../filters/exchange.js';
import type { GatewayMetrics } from '../metrics.js';
import type { AnswerHead } from '../ports/index.js';
import type { AttemptResult } from './attemptResult.js';
import type { ConnectionPool } from './connectionPool.js';
import type { Progress } from './progress.js';

/** What the recorder tells. */
export interface OutcomeRecorderOptions {
  readonly ejection: EjectionPolicy;
  readonly connections: ConnectionPool;
  readonly metrics: GatewayMetrics;
}

type FailedResult = Exclude<AttemptResult, { kind: 'answered' }>;

type NotRunReason = Extract<AttemptResult, { kind: 'not-run' }>['reason'];

const FIRST_FAILURE = 500;

/** Draws the conclusions from an attempt: for its upstream, its request and its connections. */
export class OutcomeRecorder {
  constructor(private readonly options: OutcomeRecorderOptions) {}

  noteHead(exchange: GatewayExchange, upstream: TrackedUpstream, head: AnswerHead): void {
    const { metrics, ejection } = this.options;
    metrics.observeFirstByte(performance.now() - exchange.receivedAtMs);
    if (head.load) upstream.noteLoad(head.load);
    if (head.coldRemainingMs) upstream.noteCold(head.coldRemainingMs);
    const model = exchange.head.prompt?.model;
    if (model !== undefined && head.weights !== undefined) {
      upstream.noteWeights(model, head.weights);
    }
    if (head.status >= FIRST_FAILURE) return;
    ejection.noteEnd(upstream.upstreamId, 'success');
    upstream.noteFree();
  }

  noteFailure(
    exchange: GatewayExchange,
    upstream: TrackedUpstream,
    progress: Progress,
    result: FailedResult,
  ): void {
    const { ejection } = this.options;
    const { upstreamId } = upstream;
    if (result.kind === 'not-run') {
      this.noteNotRun(upstream, progress, result.reason);
      return;
    }
    progress.noteRun(upstreamId);
    if (result.kind === 'failed') {
      progress.noteFailure(result);
      exchange.verdict = combineVerdicts(exchange.verdict, 'ran');
      ejection.noteEnd(upstreamId, 'neutral');
      return;
    }
    exchange.verdict = combineVerdicts(exchange.verdict, 'may-have-run');
    const isCancelled = exchange.signal.aborted;
    if (!isCancelled) upstream.noteBroken();
    ejection.noteEnd(upstreamId, isCancelled ? 'neutral' : 'failure');
  }

  private noteNotRun(upstream: TrackedUpstream, progress: Progress, reason: NotRunReason): void {
    const { ejection, connections } = this.options;
    ejection.noteEnd(upstream.upstreamId, 'neutral');
    if (reason === 'refused') upstream.noteBusy(REFUSED_PAUSE_MS);
    if (reason === 'unreachable' || reason === 'moved') {
      upstream.noteDown();
      upstream.noteBroken();
      connections.closeIdle(upstream.registered.address);
    }
    // Other weights than expected: the same upstream may take it with the ones that it told.
    if (reason !== 'misdirected' || progress.sends > 1) progress.excluded.add(upstream.upstreamId);
  }
}
