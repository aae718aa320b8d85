import { HedgeDelay, isGoldcrestError, sleep } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance, RetryPolicy, Router } from '@goldcrestscale/core';
import type { ByteBudget, InputBarrier } from '@goldcrestscale/runtime';
import { AttemptExecutor, estimatePromptTokens } from '../dispatch/attemptExecutor.js';
import type { AttemptDependencies, AttemptPlan } from '../dispatch/attemptExecutor.js';
import { runHedgedRequest } from '../dispatch/hedgedRequest.js';
import type { StartAttempt } from '../dispatch/hedgedRequest.js';
import { addExclusion, createDispatchProgress } from '../dispatch/dispatchProgress.js';
import type { UpstreamSelection, DispatchProgress } from '../dispatch/dispatchProgress.js';
import { createNoUpstreamRefusal, listUpstreams } from '../dispatch/upstreamDirectory.js';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';

export type { DispatchObserver, UpstreamDirectory } from '../dispatch/upstreamDirectory.js';

/** Dependencies of the dispatch filter. */
export interface DispatchFilterOptions extends AttemptDependencies {
  readonly router: Router;
  readonly retryPolicy: RetryPolicy;
  readonly inputBarrier: InputBarrier;
  /** Memory for what upstreams send. */
  readonly budget: ByteBudget;
}

const computeRemainingMs = (exchange: Exchange): number =>
  exchange.response.isHeadSent ? Infinity : (exchange.deadlineAtMs ?? Infinity) - performance.now();

/** Selects an upstream, sends the request and retries it if verdict and retry policy allow. */
export class DispatchFilter extends Filter {
  override readonly name = 'dispatch';

  private readonly executor: AttemptExecutor;

  private readonly withdrawAttempt = (): void => this.options.retryPolicy.withdrawAttempt();

  private readonly hedgeDelays = new Map<string, HedgeDelay>();

  constructor(private readonly options: DispatchFilterOptions) {
    super();
    this.executor = new AttemptExecutor(options);
  }

  override async handle(exchange: Exchange): Promise<void> {
    const progress = createDispatchProgress();
    try {
      await this.dispatch(exchange, progress);
    } finally {
      progress.relayedEvents.release();
    }
  }

  private async dispatch(exchange: Exchange, progress: DispatchProgress): Promise<void> {
    this.options.retryPolicy.recordRequest();
    let isCharged = false;
    for (;;) {
      const selection = this.selectUpstream(exchange, progress);
      try {
        const onDrop = isCharged ? this.withdrawAttempt : undefined;
        await this.runSelection(exchange, selection, progress, onDrop);
        return;
      } catch (cause) {
        if (!isGoldcrestError(cause)) throw cause;
        addExclusion(progress, selection);
        isCharged = await this.waitForRetry(exchange, cause, progress);
      }
    }
  }

  /**
   * @returns whether the retry is charged to the budget
   * @throws the given error if the request must not be retried
   */
  private async waitForRetry(
    exchange: Exchange,
    error: GoldcrestErrorInstance,
    { sends, relayedEvents }: DispatchProgress,
  ): Promise<boolean> {
    if (exchange.signal.aborted || error.code === 'deadline') throw error;
    // Elsewhere the answer would lack the same memory.
    const { neededBytes } = error;
    if (neededBytes !== undefined && !this.options.budget.canReserve(neededBytes)) throw error;
    // What the caller has of the stream is not known any more.
    if (relayedEvents.isIncomplete) throw error;
    const decision = this.options.retryPolicy.decide({
      sends,
      verdict: error.verdict,
      idempotent: exchange.isIdempotent,
      remainingMs: computeRemainingMs(exchange),
    });
    if (!decision.retry) throw error;
    await sleep(decision.delayMs, exchange.signal);
    if (!exchange.signal.aborted) return decision.isCharged;
    if (decision.isCharged) this.withdrawAttempt();
    throw error;
  }

  private selectUpstream(exchange: Exchange, progress: DispatchProgress): UpstreamSelection {
    const { workload, account } = exchange;
    if (!workload || !account) throw new TypeError('the account filter has not run');
    const upstreams = listUpstreams(this.options.directory, exchange);
    const route = this.options.router.choose(
      {
        accountId: account.id,
        workload,
        blocks: exchange.blocks ?? [],
        promptTokens: estimatePromptTokens(exchange),
        excludedUpstreams: progress.excludedUpstreams,
        avoidedZones: progress.avoidedZones,
        ...(exchange.weightVersion === undefined ? {} : { weightVersion: exchange.weightVersion }),
      },
      upstreams,
    );
    const upstream = upstreams.find((view) => view.upstreamId === route?.upstreamId);
    if (!route || !upstream) throw createNoUpstreamRefusal();
    return { route, upstream };
  }

  private async runSelection(
    exchange: Exchange,
    selection: UpstreamSelection,
    progress: DispatchProgress,
    onDrop: (() => void) | undefined,
  ): Promise<void> {
    const { target } = exchange;
    const isHedgeable =
      target.kind === 'service' && exchange.method === 'GET' && exchange.isIdempotent;
    if (isHedgeable)
      await this.runHedgeable({ exchange, selection, progress, onDrop }, target.service);
    else await this.executor.run({ exchange, selection, progress, onDrop });
  }

  private async runHedgeable(plan: AttemptPlan, service: string): Promise<void> {
    const { exchange, selection, progress } = plan;
    const hedgeDelay = this.hedgeDelays.get(service) ?? new HedgeDelay();
    this.hedgeDelays.set(service, hedgeDelay);
    const startedAtMs = performance.now();
    const delayMs = hedgeDelay.computeDelayMs();
    if (delayMs === undefined) {
      await this.executor.run(plan);
    } else {
      const startPrimary = this.createStartAttempt(plan);
      const createHedge = () => this.createHedge(exchange, selection, progress);
      const { inputBarrier } = this.options;
      await runHedgedRequest({ delayMs, inputBarrier, startPrimary, createHedge });
    }
    hedgeDelay.recordLatency(performance.now() - startedAtMs);
  }

  private createHedge(
    exchange: Exchange,
    primary: UpstreamSelection,
    progress: DispatchProgress,
  ): StartAttempt | undefined {
    if (exchange.signal.aborted) return undefined;
    addExclusion(progress, primary);
    try {
      const selection = this.selectUpstream(exchange, progress);
      if (!this.options.retryPolicy.tryHedge()) return undefined;
      const { withdrawAttempt: onDrop } = this;
      return this.createStartAttempt({ exchange, selection, progress, onDrop });
    } catch {
      // No other upstream is available, so the first attempt continues without a hedge.
      return undefined;
    }
  }

  private createStartAttempt(plan: AttemptPlan): StartAttempt {
    return (signal, onResponseStart) => this.executor.run({ ...plan, signal, onResponseStart });
  }
}
