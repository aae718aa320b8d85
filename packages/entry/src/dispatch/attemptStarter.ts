import { randomUUID } from 'node:crypto';
import { combineVerdicts, isGoldcrestError, toId } from '@goldcrestscale/core';
import type { AttemptId, UpstreamView } from '@goldcrestscale/core';
import type { Exchange } from '../filters/exchange.js';
import type { Attempt, AttemptRunner } from './attempt.js';
import { decideOutcome } from './attemptOutcome.js';
import { createDeadline } from './deadline.js';
import type { Deadline } from './deadline.js';
import { addAvoided } from './progress.js';
import type { Choice, Progress } from './progress.js';
import { createNoUpstreamRefusal } from './upstreamDirectory.js';
import type { DispatchObserver, UpstreamDirectory } from './upstreamDirectory.js';

/** What attempts need. */
export interface AttemptOptions {
  readonly directory: UpstreamDirectory;
  readonly completions: AttemptRunner;
  readonly services: AttemptRunner;
  readonly observer: DispatchObserver;
}

/** One attempt to start. */
export interface AttemptPlan {
  readonly exchange: Exchange;
  readonly choice: Choice;
  readonly progress: Progress;
  /** Aborts when another attempt has answered. */
  readonly signal?: AbortSignal;
  /** Called right before the attempt answers the caller. */
  readonly onWin?: () => void;
}

const BYTES_PER_TOKEN = 4;

/** Estimates the prompt tokens of an exchange. */
export const countPromptTokens = ({ target }: Exchange): number =>
  target.kind === 'completion' ? Math.ceil(Buffer.byteLength(target.prompt) / BYTES_PER_TOKEN) : 0;

/** Starts attempts and notes how they end. */
export class AttemptStarter {
  constructor(private readonly options: AttemptOptions) {}

  /** @throws GoldcrestError with the verdict on this attempt */
  async run(plan: AttemptPlan): Promise<void> {
    const { directory } = this.options;
    const { exchange, choice } = plan;
    const { upstreamId } = choice.upstream;
    const deadline = createDeadline(exchange);
    let sent = false;
    try {
      this.assertSendable(exchange, choice.upstream);
      sent = true;
      const tokens = countPromptTokens(exchange) - choice.route.expectedCachedTokens;
      directory.noteDispatch(upstreamId, tokens);
      await this.getRunner(exchange).run(this.buildAttempt(plan, deadline));
      directory.noteEnd(upstreamId, 'success');
    } catch (cause) {
      const error = deadline.explain(cause);
      if (sent) this.noteFailure(plan, error);
      throw error;
    } finally {
      deadline.clear();
    }
  }

  /** Checks everything that may have changed since the choice; nothing awaits between this and the send. */
  private assertSendable(exchange: Exchange, upstream: UpstreamView): void {
    exchange.assertSendable();
    if (!this.options.directory.findView(upstream.upstreamId)?.eligible) {
      throw createNoUpstreamRefusal();
    }
  }

  private buildAttempt(plan: AttemptPlan, deadline: Deadline): Attempt {
    const { exchange, choice, progress, signal, onWin } = plan;
    const { observer } = this.options;
    return {
      attemptId: toId<AttemptId>(randomUUID()),
      exchange,
      ...choice,
      signal: signal ? AbortSignal.any([deadline.signal, signal]) : deadline.signal,
      receivedEvents: progress.receivedEvents,
      onFirstByte: () => {
        onWin?.();
        deadline.clear();
        observer.onFirstByte(exchange, choice.upstream);
      },
      onUsage: (usage) =>
        observer.onUsage(exchange, choice.upstream, usage, choice.route.expectedCachedTokens),
    };
  }

  private getRunner(exchange: Exchange): AttemptRunner {
    return exchange.target.kind === 'completion' ? this.options.completions : this.options.services;
  }

  private noteFailure(plan: AttemptPlan, error: unknown): void {
    const { exchange, choice, progress, signal } = plan;
    const { upstream } = choice;
    const isCancelled = exchange.signal.aborted || signal?.aborted === true;
    const isKnown = isGoldcrestError(error);
    const outcome = isCancelled || !isKnown ? 'neutral' : decideOutcome(error);
    this.options.directory.noteEnd(upstream.upstreamId, outcome);
    if (!isKnown || signal?.aborted) return;
    addAvoided(progress, choice);
    exchange.verdict = combineVerdicts(exchange.verdict, error.verdict);
    this.options.observer.onFailure(exchange, upstream, error);
  }
}
