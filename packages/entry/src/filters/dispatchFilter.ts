import { randomUUID } from 'node:crypto';
import {
  canRepeat,
  combineVerdicts,
  createRefusal,
  isGoldcrestError,
  toId,
} from '@goldcrestscale/core';
import type {
  AttemptId,
  AvailabilityZoneId,
  GoldcrestErrorInstance,
  Route,
  Router,
  UpstreamId,
  UpstreamView,
} from '@goldcrestscale/core';
import { DEFAULT_RETRY_AFTER_MS, MAX_ATTEMPTS } from '../constants.js';
import type { Attempt, AttemptRunner } from '../dispatch/attempt.js';
import { createDeadline } from '../dispatch/deadline.js';
import type { TokenUsage } from '../upstream/completionPayload.js';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';

/** Upstreams as the dispatch filter sees them. */
export interface UpstreamDirectory {
  listEngines(model: string): readonly UpstreamView[];
  listServices(service: string): readonly UpstreamView[];
  findView(upstreamId: UpstreamId): UpstreamView | undefined;
  noteDispatch(upstreamId: UpstreamId, promptTokens: number): void;
}

/** Observes attempts, for metrics, breakers and the prefix index. */
export interface DispatchObserver {
  onFirstByte(exchange: Exchange, upstream: UpstreamView): void;
  onUsage(exchange: Exchange, upstream: UpstreamView, usage: TokenUsage): void;
  onFailure(exchange: Exchange, upstream: UpstreamView, error: GoldcrestErrorInstance): void;
}

/** What the dispatch filter is built from. */
export interface DispatchOptions {
  readonly router: Router;
  readonly directory: UpstreamDirectory;
  readonly completions: AttemptRunner;
  readonly services: AttemptRunner;
  readonly observer: DispatchObserver;
}

const BYTES_PER_TOKEN = 4;

interface Choice {
  readonly upstream: UpstreamView;
  readonly route: Route;
}

/** What has happened to one exchange so far. */
interface Progress {
  readonly excluded: Set<UpstreamId>;
  readonly avoidedZones: Set<AvailabilityZoneId>;
  readonly receivedEvents: string[];
}

const refuseForUpstream = (): Error =>
  createRefusal('No upstream can take the request now.', {
    code: 'no_upstream',
    status: 503,
    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
  });

const countPromptTokens = (exchange: Exchange): number =>
  exchange.target.kind === 'completion'
    ? Math.ceil(Buffer.byteLength(exchange.target.prompt) / BYTES_PER_TOKEN)
    : 0;

const canTryAgain = (exchange: Exchange, error: GoldcrestErrorInstance): boolean => {
  if (exchange.signal.aborted || error.code === 'deadline') return false;
  if (exchange.deadlineAtMs !== undefined && Date.now() >= exchange.deadlineAtMs) {
    if (!exchange.answer.headSent) return false;
  }
  return canRepeat(error.verdict, exchange.idempotent);
};

/** Chooses an upstream, sends the request and repeats it as far as its verdict allows. */
export class DispatchFilter extends Filter {
  override readonly name = 'dispatch';

  constructor(private readonly options: DispatchOptions) {
    super();
  }

  override async handle(exchange: Exchange): Promise<void> {
    const progress: Progress = {
      excluded: new Set(),
      avoidedZones: new Set(),
      receivedEvents: [],
    };
    for (let count = 1; ; count += 1) {
      const choice = this.choose(exchange, progress);
      try {
        await this.runAttempt(exchange, choice, progress);
        return;
      } catch (cause) {
        if (!isGoldcrestError(cause)) throw cause;
        this.noteFailure(exchange, choice, progress, cause);
        if (count === MAX_ATTEMPTS || !canTryAgain(exchange, cause)) throw cause;
      }
    }
  }

  private choose(exchange: Exchange, progress: Progress): Choice {
    const { workload, account, target } = exchange;
    if (!workload || !account) throw new TypeError('the account filter has not run');
    const upstreams =
      target.kind === 'completion'
        ? this.options.directory.listEngines(target.model)
        : this.options.directory.listServices(target.service);
    const route = this.options.router.choose(
      {
        accountId: account.id,
        workload,
        blocks: exchange.blocks ?? [],
        promptTokens: countPromptTokens(exchange),
        excluded: progress.excluded,
        avoidedZones: progress.avoidedZones,
        ...(exchange.weightVersion === undefined ? {} : { weightVersion: exchange.weightVersion }),
      },
      upstreams,
    );
    const upstream = upstreams.find((view) => view.upstreamId === route?.upstreamId);
    if (!route || !upstream) throw refuseForUpstream();
    return { route, upstream };
  }

  private async runAttempt(exchange: Exchange, choice: Choice, progress: Progress): Promise<void> {
    const { upstream, route } = choice;
    const deadline = createDeadline(exchange);
    const attempt: Attempt = {
      attemptId: toId<AttemptId>(randomUUID()),
      exchange,
      upstream,
      route,
      signal: deadline.signal,
      receivedEvents: progress.receivedEvents,
      onFirstByte: () => {
        deadline.clear();
        this.options.observer.onFirstByte(exchange, upstream);
      },
      onUsage: (usage) => this.options.observer.onUsage(exchange, upstream, usage),
    };
    try {
      this.assertSendable(exchange, upstream);
      const tokens = countPromptTokens(exchange) - route.expectedCachedTokens;
      this.options.directory.noteDispatch(upstream.upstreamId, tokens);
      await this.getRunner(exchange).run(attempt);
    } catch (cause) {
      throw deadline.explain(cause);
    } finally {
      deadline.clear();
    }
  }

  /** Checks everything that may have changed since the choice; nothing awaits between this and the send. */
  private assertSendable(exchange: Exchange, upstream: UpstreamView): void {
    exchange.assertSendable();
    if (!this.options.directory.findView(upstream.upstreamId)?.eligible) throw refuseForUpstream();
  }

  private getRunner(exchange: Exchange): AttemptRunner {
    return exchange.target.kind === 'completion' ? this.options.completions : this.options.services;
  }

  private noteFailure(
    exchange: Exchange,
    { upstream }: Choice,
    progress: Progress,
    error: GoldcrestErrorInstance,
  ): void {
    progress.excluded.add(upstream.upstreamId);
    progress.avoidedZones.add(upstream.availabilityZone);
    exchange.verdict = combineVerdicts(exchange.verdict, error.verdict);
    this.options.observer.onFailure(exchange, upstream, error);
  }
}
