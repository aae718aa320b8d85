import {
  combineVerdicts,
  createError,
  createRefusal,
  listSharedParts,
  buildBlockKey,
} from '@goldcrestscale/core';
import type {
  BlockDirectory,
  EjectionPolicy,
  FetchHorizon,
  FleetRetryBudget,
  GoldcrestErrorInstance,
  ServiceName,
  TrackedUpstream,
  UpstreamId,
} from '@goldcrestscale/core';
import {
  BUSY_RETRY_MS,
  FETCH_SLACK_MS,
  MAX_EXTRA_SENDS,
  REFUSED_PAUSE_MS,
  UNREACHABLE_PAUSE_MS,
} from '../constants.js';
import type { AttemptResult } from '../dispatch/attemptResult.js';
import type { ConnectionPool } from '../dispatch/connectionPool.js';
import { EventSplitter } from '../dispatch/eventSplitter.js';
import { UpstreamAttempt } from '../dispatch/upstreamAttempt.js';
import type { UpstreamChoice, UpstreamChooser } from '../dispatch/upstreamChooser.js';
import type { GatewayMetrics } from '../metrics.js';
import type { AnswerHead, AttemptFacts, BlockTransfers, UpstreamProtocol } from '../ports/index.js';
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
}

/** What the attempts of one request share. */
interface Progress {
  readonly service: ServiceName;
  readonly excluded: Set<UpstreamId>;
  readonly events: EventSplitter | undefined;
  sends: number;
  runs: number;
  lastFailure: Extract<AttemptResult, { kind: 'failed' }> | undefined;
}

/** Share of the time for a read that a fetch must have at least. */
const MIN_FETCH_SHARE = 0.5;

const describeResult = (result: AttemptResult): string => {
  if (result.kind === 'failed') return `status ${result.head.status}`;
  return 'reason' in result ? `${result.kind}: ${result.reason}` : result.kind;
};

/** Ranks by priority; 0 to 9, where the upstream's own default is 5. */
const URGENCIES = [2, 4, 5, 6, 7] as const;

const createNoUpstreamError = (): GoldcrestErrorInstance =>
  createRefusal('No upstream can take the request now; try again.', {
    code: 'no_upstream',
    status: 503,
    retryAfterMs: BUSY_RETRY_MS,
  });

const createTimeoutError = (exchange: GatewayExchange): GoldcrestErrorInstance =>
  createError('The time for the answer is over.', {
    code: 'deadline',
    status: exchange.verdict === 'not-run' ? 503 : 504,
    verdict: exchange.verdict,
  });

/** Chooses an upstream, sends the request and repeats it as far as the outcome allows. */
export class GatewayDispatchFilter extends GatewayFilter {
  override readonly name = 'dispatch';

  constructor(private readonly options: GatewayDispatchOptions) {
    super();
  }

  override async handle(exchange: GatewayExchange): Promise<void> {
    const service = this.options.chooser.pickService(exchange);
    if (service === undefined) throw createNoUpstreamError();
    const route = requireRoute(exchange);
    this.options.retries.noteRequest(service);
    const progress: Progress = {
      service,
      excluded: new Set(),
      events: route.resumable ? new EventSplitter() : undefined,
      sends: 0,
      runs: 0,
      lastFailure: undefined,
    };
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
      if (!choice) {
        this.answerFailure(exchange, progress);
        return;
      }
      const { upstream } = choice;
      const result = await this.runAttempt(exchange, choice, progress, signal);
      this.options.metrics.countAttempt(progress.service, result.kind);
      if (result.kind === 'answered') {
        exchange.verdict = 'ran';
        return;
      }
      this.noteFailure(exchange, upstream, progress, result);
      if (signal.aborted) throw createTimeoutError(exchange);
      if (!this.canRepeat(exchange, progress, result)) {
        this.answerFailure(exchange, progress);
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
      facts: this.buildFacts(exchange, choice, progress),
      signal,
      events: progress.events,
      onHead: (head) => {
        noteBegun();
        this.noteHead(exchange, upstream, head);
        if (exchange.head.prompt) {
          const elapsedMs = performance.now() - sentAtMs;
          this.options.chooser.rate.learn(tokens + queuedTokens, elapsedMs);
        }
      },
    });
    progress.sends += 1;
    const note: AttemptNote = {
      upstreamId: upstream.upstreamId,
      weights: this.options.chooser.findWeights(exchange, upstream),
      load: upstream.estimateLoad(),
      pendingTokens: Math.round(queuedTokens),
      startedAtMs: Math.round(sentAtMs - exchange.receivedAtMs),
      outcome: 'open',
    };
    exchange.attempts.push(note);
    upstream.noteSent(tokens);
    ejection.noteStart(upstream.upstreamId);
    this.options.chooser.noteSent(exchange, upstream);
    try {
      const result = await attempt.run();
      note.outcome = describeResult(result);
      return result;
    } finally {
      noteBegun();
      upstream.noteEnd();
      if (attempt.isReusable) connections.release(address, connection);
      else connections.discard(address, connection);
    }
  }

  private buildFacts(
    exchange: GatewayExchange,
    choice: UpstreamChoice,
    progress: Progress,
  ): AttemptFacts {
    const { upstream } = choice;
    const { chooser, horizon } = this.options;
    const { prompt, lastEventId } = exchange.head;
    const weights = chooser.findWeights(exchange, upstream);
    const allowedMs =
      prompt && weights !== undefined ? horizon.computeFetchMs(prompt.model, weights) : 0;
    const salt = prompt ? chooser.buildSalt(exchange, weights) : undefined;
    const rank = exchange.account?.priority ?? requireRoute(exchange).priority;
    const resumeFrom = progress.events?.lastId;
    return {
      upstreamId: upstream.upstreamId,
      remainingMs: Math.max(1, Math.round(exchange.deadlineAtMs - performance.now())),
      urgency: prompt ? URGENCIES[Math.min(rank, URGENCIES.length - 1)] : undefined,
      cacheSalt: salt,
      weights,
      transfers:
        salt === undefined ? undefined : this.planTransfers(exchange, salt, choice, allowedMs),
      lastEventId: resumeFrom === undefined ? lastEventId : String(resumeFrom),
    };
  }

  private planTransfers(
    exchange: GatewayExchange,
    salt: string,
    { firstTokenMs }: UpstreamChoice,
    allowedMs: number,
  ): BlockTransfers | undefined {
    const { prompt } = exchange.head;
    const { blocks } = this.options;
    if (!prompt || blocks.listStores().length === 0) return undefined;
    const shared = new Set(listSharedParts(prompt));
    const fetchFrom: (string | undefined)[] = [];
    const saveTo: (string | undefined)[] = [];
    let fetchTokens = 0;
    prompt.parts.forEach((part) => {
      const key = buildBlockKey(salt, part.id);
      const isShared = shared.has(part);
      const source = isShared ? blocks.findStore(key, part.tokens) : undefined;
      if (source !== undefined) fetchTokens += part.tokens;
      fetchFrom.push(source);
      saveTo.push(isShared ? blocks.takeSaveTarget(key, part.tokens) : undefined);
    });
    const readMs = fetchTokens / this.options.chooser.rate.tokensPerMs;
    const fetchMs = Math.min(allowedMs, firstTokenMs + readMs + FETCH_SLACK_MS);
    const fetchUntilMs = blocks.computeServerTime(fetchMs);
    // Without a limit by the servers' clock, a block could be freed while it is fetched.
    const canFetch = fetchUntilMs !== undefined && fetchMs >= readMs * MIN_FETCH_SHARE;
    return { fetchFrom: canFetch ? fetchFrom : [], saveTo, fetchUntilMs };
  }

  private noteHead(exchange: GatewayExchange, upstream: TrackedUpstream, head: AnswerHead): void {
    const { metrics, ejection } = this.options;
    metrics.observeFirstByte(performance.now() - exchange.receivedAtMs);
    if (head.load) upstream.noteLoad(head.load);
    if (head.coldRemainingMs) upstream.noteCold(head.coldRemainingMs);
    const model = exchange.head.prompt?.model;
    if (model !== undefined && head.weights !== undefined) {
      upstream.noteWeights(model, head.weights);
    }
    if (head.status < 500) {
      ejection.noteEnd(upstream.upstreamId, 'success');
      upstream.noteFree();
    }
  }

  private noteFailure(
    exchange: GatewayExchange,
    upstream: TrackedUpstream,
    progress: Progress,
    result: Exclude<AttemptResult, { kind: 'answered' }>,
  ): void {
    const { ejection } = this.options;
    const isCancelled = exchange.signal.aborted;
    if (result.kind === 'failed') {
      progress.lastFailure = result;
      progress.runs += 1;
      exchange.verdict = combineVerdicts(exchange.verdict, 'ran');
      ejection.noteEnd(upstream.upstreamId, 'neutral');
      progress.excluded.add(upstream.upstreamId);
    } else if (result.kind === 'not-run') {
      this.noteNotRun(upstream, progress, result.reason);
    } else {
      progress.runs += 1;
      exchange.verdict = combineVerdicts(exchange.verdict, 'may-have-run');
      if (!isCancelled) upstream.noteBroken();
      ejection.noteEnd(upstream.upstreamId, isCancelled ? 'neutral' : 'failure');
      progress.excluded.add(upstream.upstreamId);
    }
  }

  private noteNotRun(
    upstream: TrackedUpstream,
    progress: Progress,
    reason: Extract<AttemptResult, { kind: 'not-run' }>['reason'],
  ): void {
    this.options.ejection.noteEnd(upstream.upstreamId, 'neutral');
    if (reason === 'refused') upstream.noteBusy(REFUSED_PAUSE_MS);
    if (reason === 'unreachable') {
      upstream.noteBusy(UNREACHABLE_PAUSE_MS);
      upstream.noteBroken();
      this.options.connections.closeIdle(upstream.registered.address);
    }
    // Other weights than expected: the same upstream may take it with the ones that it told.
    if (reason !== 'misdirected' || progress.sends > 1) {
      progress.excluded.add(upstream.upstreamId);
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

  /** Ends a request that no further attempt can serve. */
  private answerFailure(exchange: GatewayExchange, progress: Progress): void {
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
  }
}
