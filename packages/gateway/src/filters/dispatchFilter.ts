import { createError, createRefusal } from '@goldcrestscale/core';
import type {
  BlockDirectory,
  EjectionPolicy,
  FetchHorizon,
  FleetRetryBudget,
  GoldcrestErrorInstance,
  ServiceName,
} from '@goldcrestscale/core';
import { BUSY_RETRY_MS, MAX_EXTRA_SENDS } from '../constants.js';
import { AttemptFactsBuilder } from '../dispatch/attemptFactsBuilder.js';
import type { AttemptResult } from '../dispatch/attemptResult.js';
import { findWeights } from '../dispatch/cacheIdentity.js';
import type { ConnectionPool } from '../dispatch/connectionPool.js';
import { OutcomeRecorder } from '../dispatch/outcomeRecorder.js';
import { Progress } from '../dispatch/progress.js';
import { UpstreamAttempt } from '../dispatch/upstreamAttempt.js';
import type { UpstreamChoice, UpstreamChooser } from '../dispatch/upstreamChooser.js';
import type { GatewayMetrics } from '../metrics.js';
import type { UpstreamProtocol } from '../ports/index.js';
import type { AttemptNote, GatewayExchange } from './exchange.js';
import { requireRoute } from './exchange.js';
import { GatewayFilter } from './gatewayFilter.js';

/** What the dispatch filter is built from. */
export interface GatewayDispatchOptions {
  readonly chooser: UpstreamChooser;
  readonly connections: ConnectionPool;
  readonly protocol: UpstreamProtocol;
  readonly retries: FleetRetryBudget;
  readonly ejection: EjectionPolicy;
  readonly blocks: BlockDirectory;
  readonly horizon: FetchHorizon;
  readonly metrics: GatewayMetrics;
  /** Gives this VM's part of the connections that an upstream accepts. */
  readonly getConnectionShare: (service: ServiceName) => number;
  /** Told the tokens that an engine has to read for a prompt that is on its way. */
  readonly onPromptSent: (tokens: number) => void;
}

const describeResult = (result: AttemptResult): string => {
  if (result.kind === 'failed') return `status ${result.head.status}`;
  return 'reason' in result ? `${result.kind}: ${result.reason}` : result.kind;
};

const createNoUpstreamError = (): GoldcrestErrorInstance =>
  createRefusal('No upstream can take the request now; try again.', {
    code: 'no_upstream',
    status: 503,
    retryAfterMs: BUSY_RETRY_MS,
  });

const createOverloadError = (refusedForMs: number): GoldcrestErrorInstance =>
  createRefusal('The engines can not read this prompt in time now; try again later.', {
    code: 'overloaded',
    status: 503,
    retryAfterMs: Math.max(BUSY_RETRY_MS, refusedForMs),
  });

const createTimeoutError = (exchange: GatewayExchange): GoldcrestErrorInstance =>
  createError('The time for the answer is over.', {
    code: 'deadline',
    status: exchange.verdict === 'not-run' ? 503 : 504,
    verdict: exchange.verdict,
  });

/** Ends a request that no further attempt can serve. */
const answerFailure = (exchange: GatewayExchange, progress: Progress): void => {
  const { answer } = exchange;
  const { lastFailure } = progress;
  if (lastFailure && !answer.headSent) {
    const { head, body } = lastFailure;
    answer.start({ status: head.status, headers: head.forwarded, contentLength: body.length });
    answer.finish(body);
    return;
  }
  if (exchange.verdict === 'not-run') throw createNoUpstreamError();
  throw createError('The upstream gave no whole answer; the request may have run.', {
    code: answer.headSent ? 'stream_broken' : 'upstream_failed',
    status: 502,
    verdict: exchange.verdict,
  });
};

const createNote = (
  exchange: GatewayExchange,
  { upstream, readTokens, firstTokenMs }: UpstreamChoice,
): AttemptNote => ({
  upstreamId: upstream.upstreamId,
  weights: findWeights(exchange, upstream),
  load: upstream.estimateLoad(),
  pendingTokens: Math.round(upstream.estimatePendingTokens()),
  readTokens,
  expectedMs: Math.round(firstTokenMs),
  startedAtMs: Math.round(performance.now() - exchange.receivedAtMs),
  outcome: 'open',
});

/** Chooses an upstream, sends the request and repeats it as far as the outcome allows. */
export class GatewayDispatchFilter extends GatewayFilter {
  override readonly name = 'dispatch';

  private readonly facts: AttemptFactsBuilder;

  private readonly outcomes: OutcomeRecorder;

  constructor(private readonly options: GatewayDispatchOptions) {
    super();
    this.facts = new AttemptFactsBuilder(options);
    this.outcomes = new OutcomeRecorder(options);
  }

  override async handle(exchange: GatewayExchange): Promise<void> {
    const service = this.options.chooser.pickService(exchange);
    if (service === undefined) throw createNoUpstreamError();
    const route = requireRoute(exchange);
    this.options.retries.noteRequest(service);
    const progress = new Progress(service, route);
    const expiry = new AbortController();
    const leftMs = Math.max(0, exchange.deadlineAtMs - performance.now());
    const timer = setTimeout(() => expiry.abort(), leftMs);
    try {
      const signal = AbortSignal.any([exchange.signal, expiry.signal]);
      await this.runAttempts(exchange, progress, signal);
    } finally {
      clearTimeout(timer);
    }
  }

  private async runAttempts(
    exchange: GatewayExchange,
    progress: Progress,
    signal: AbortSignal,
  ): Promise<void> {
    for (;;) {
      if (signal.aborted) throw createTimeoutError(exchange);
      const choice = this.options.chooser.choose(exchange, progress.service, progress.excluded);
      if (choice && 'refusedForMs' in choice && progress.sends === 0) {
        throw createOverloadError(choice.refusedForMs);
      }
      if (!choice || 'refusedForMs' in choice) {
        answerFailure(exchange, progress);
        return;
      }
      const { upstream } = choice;
      const result = await this.runAttempt(exchange, choice, progress, signal);
      this.options.metrics.countAttempt(progress.service, result.kind);
      if (result.kind === 'answered') {
        exchange.verdict = 'ran';
        return;
      }
      this.outcomes.noteFailure(exchange, upstream, progress, result);
      if (signal.aborted) throw createTimeoutError(exchange);
      if (!this.canRepeat(exchange, progress, result)) {
        answerFailure(exchange, progress);
        return;
      }
    }
  }

  private async runAttempt(
    exchange: GatewayExchange,
    choice: UpstreamChoice,
    progress: Progress,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const { connections, protocol, ejection } = this.options;
    const { upstream, readTokens: tokens } = choice;
    const { address, service } = upstream.registered;
    const connection = connections.acquire(address, this.options.getConnectionShare(service));
    if (!connection) return { kind: 'not-run', reason: 'refused' };
    const queuedTokens = upstream.estimatePendingTokens();
    const sentAtMs = performance.now();
    const note = createNote(exchange, choice);
    let isPending = true;
    const noteBegun = (): void => {
      if (isPending) upstream.noteAnswerBegun(tokens);
      isPending = false;
    };
    const attempt = new UpstreamAttempt({
      exchange,
      upstream,
      connection,
      protocol,
      facts: this.facts.build(exchange, choice, progress),
      signal,
      events: progress.events,
      onHead: (head) => {
        noteBegun();
        note.headMs = Math.round(performance.now() - sentAtMs);
        this.outcomes.noteHead(exchange, upstream, head);
        if (exchange.head.prompt) {
          const elapsedMs = performance.now() - sentAtMs;
          this.options.chooser.rate.learn(tokens + queuedTokens, elapsedMs);
        }
      },
    });
    progress.noteSend();
    exchange.attempts.push(note);
    const promptTokens = exchange.head.prompt?.inputTokens ?? 0;
    upstream.noteSent(tokens, promptTokens);
    ejection.noteStart(upstream.upstreamId);
    this.options.chooser.noteSent(exchange, upstream);
    this.options.onPromptSent(tokens);
    try {
      const result = await attempt.run();
      note.outcome = describeResult(result);
      return result;
    } finally {
      noteBegun();
      upstream.noteEnd(promptTokens);
      if (attempt.isReusable) connections.release(address, connection);
      else connections.discard(address, connection);
    }
  }

  private canRepeat(
    exchange: GatewayExchange,
    progress: Progress,
    result: Exclude<AttemptResult, { kind: 'answered' }>,
  ): boolean {
    const { maxUpstreams, idempotent, resumable } = requireRoute(exchange);
    if (exchange.signal.aborted) return false;
    const maxSends = maxUpstreams + MAX_EXTRA_SENDS;
    const isAllowed =
      result.kind === 'not-run'
        ? progress.sends < maxSends
        : idempotent && progress.runs < maxUpstreams && progress.sends < maxSends;
    if (!isAllowed || (result.kind === 'broken' && !resumable)) return false;
    return this.options.retries.tryRepeat(progress.service);
  }
}
