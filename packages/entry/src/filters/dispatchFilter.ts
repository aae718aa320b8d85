import { HedgeDelay, isGoldcrestError, sleep } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance, RetryPolicy, Router } from '@goldcrestscale/core';
import { AttemptStarter, countPromptTokens } from '../dispatch/attemptStarter.js';
import type { AttemptOptions } from '../dispatch/attemptStarter.js';
import { runHedged } from '../dispatch/hedgedRun.js';
import type { StartAttempt } from '../dispatch/hedgedRun.js';
import { addAvoided, createProgress } from '../dispatch/progress.js';
import type { Choice, Progress } from '../dispatch/progress.js';
import { createNoUpstreamRefusal, listUpstreams } from '../dispatch/upstreamDirectory.js';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';

export type { DispatchObserver, UpstreamDirectory } from '../dispatch/upstreamDirectory.js';

/** What the dispatch filter is built from. */
export interface DispatchOptions extends AttemptOptions {
  readonly router: Router;
  readonly retries: RetryPolicy;
}

const computeRemainingMs = (exchange: Exchange): number =>
  exchange.answer.headSent ? Infinity : (exchange.deadlineAtMs ?? Infinity) - Date.now();

/** Chooses an upstream, sends the request and repeats it as far as its verdict allows. */
export class DispatchFilter extends Filter {
  override readonly name = 'dispatch';

  private readonly starter: AttemptStarter;

  private readonly hedgeDelays = new Map<string, HedgeDelay>();

  constructor(private readonly options: DispatchOptions) {
    super();
    this.starter = new AttemptStarter(options);
  }

  override async handle(exchange: Exchange): Promise<void> {
    const progress = createProgress();
    this.options.retries.recordRequest();
    for (let attempts = 1; ; attempts += 1) {
      const choice = this.choose(exchange, progress);
      try {
        await this.runChoice(exchange, choice, progress);
        return;
      } catch (cause) {
        if (!isGoldcrestError(cause)) throw cause;
        addAvoided(progress, choice);
        await this.waitForRetry(exchange, cause, attempts);
      }
    }
  }

  /** @throws the failure itself where it is not to be repeated */
  private async waitForRetry(
    exchange: Exchange,
    error: GoldcrestErrorInstance,
    attempts: number,
  ): Promise<void> {
    if (exchange.signal.aborted || error.code === 'deadline') throw error;
    const decision = this.options.retries.decide({
      attempts,
      verdict: error.verdict,
      idempotent: exchange.idempotent,
      remainingMs: computeRemainingMs(exchange),
    });
    if (!decision.retry) throw error;
    await sleep(decision.delayMs, exchange.signal);
    if (exchange.signal.aborted) throw error;
  }

  private choose(exchange: Exchange, progress: Progress): Choice {
    const { workload, account } = exchange;
    if (!workload || !account) throw new TypeError('the account filter has not run');
    const upstreams = listUpstreams(this.options.directory, exchange);
    const route = this.options.router.choose(
      {
        accountId: account.id,
        workload,
        blocks: exchange.blocks ?? [],
        promptTokens: countPromptTokens(exchange),
        excludedUpstreams: progress.excluded,
        avoidedZones: progress.avoidedZones,
        ...(exchange.weightVersion === undefined ? {} : { weightVersion: exchange.weightVersion }),
      },
      upstreams,
    );
    const upstream = upstreams.find((view) => view.upstreamId === route?.upstreamId);
    if (!route || !upstream) throw createNoUpstreamRefusal();
    return { route, upstream };
  }

  private async runChoice(exchange: Exchange, choice: Choice, progress: Progress): Promise<void> {
    const { target } = exchange;
    const isLookUp = target.kind === 'service' && exchange.method === 'GET' && exchange.idempotent;
    if (isLookUp) await this.runLookUp(exchange, choice, progress, target.service);
    else await this.starter.run({ exchange, choice, progress });
  }

  private async runLookUp(
    exchange: Exchange,
    choice: Choice,
    progress: Progress,
    service: string,
  ): Promise<void> {
    const hedgeDelay = this.hedgeDelays.get(service) ?? new HedgeDelay();
    this.hedgeDelays.set(service, hedgeDelay);
    const startedAtMs = Date.now();
    const delayMs = hedgeDelay.computeDelayMs();
    if (delayMs === undefined) {
      await this.starter.run({ exchange, choice, progress });
    } else {
      const startFirst = this.createStart(exchange, choice, progress);
      const takeSecond = () => this.takeHedge(exchange, choice, progress);
      await runHedged({ delayMs, startFirst, takeSecond });
    }
    hedgeDelay.recordLatency(Date.now() - startedAtMs);
  }

  private takeHedge(
    exchange: Exchange,
    first: Choice,
    progress: Progress,
  ): StartAttempt | undefined {
    if (exchange.signal.aborted) return undefined;
    addAvoided(progress, first);
    try {
      const choice = this.choose(exchange, progress);
      if (!this.options.retries.tryHedge()) return undefined;
      return this.createStart(exchange, choice, progress);
    } catch {
      // Without another upstream the first attempt goes on alone.
      return undefined;
    }
  }

  private createStart(exchange: Exchange, choice: Choice, progress: Progress): StartAttempt {
    return (signal, onWin) => this.starter.run({ exchange, choice, progress, signal, onWin });
  }
}
