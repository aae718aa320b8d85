import { randomUUID } from 'node:crypto';
import { canHaveArrived, combineVerdicts, isGoldcrestError, toId } from '@goldcrestscale/core';
import type { AttemptId } from '@goldcrestscale/core';
import type { Exchange } from '../filters/exchange.js';
import type { Attempt, AttemptRunner } from './attempt.js';
import { decideFailureOutcome, findSendEnd } from './attemptOutcome.js';
import { createDeadline } from './deadline.js';
import type { Deadline } from './deadline.js';
import { addExclusion } from './dispatchProgress.js';
import { createAttemptError } from '../upstream/upstreamErrors.js';
import type { UpstreamSelection, DispatchProgress } from './dispatchProgress.js';
import { createNoUpstreamRefusal } from './upstreamDirectory.js';
import type { DispatchObserver, UpstreamDirectory } from './upstreamDirectory.js';

/** Dependencies of attempts. */
export interface AttemptDependencies {
  readonly directory: UpstreamDirectory;
  readonly completionRunner: AttemptRunner;
  readonly serviceRunner: AttemptRunner;
  readonly observer: DispatchObserver;
}

/** Describes an attempt to start. */
export interface AttemptPlan {
  readonly exchange: Exchange;
  readonly selection: UpstreamSelection;
  readonly progress: DispatchProgress;
  /** Aborts when a competing attempt has started to respond. */
  readonly signal?: AbortSignal;
  /** Called if the attempt did not leave this VM. */
  readonly onDrop?: (() => void) | undefined;
  /** Called right before the attempt starts to respond to the caller. */
  readonly onResponseStart?: () => void;
}

const ESTIMATED_BYTES_PER_TOKEN = 4;

/** Estimates the prompt tokens of an exchange from the size of its prompt. */
export const estimatePromptTokens = ({ target }: Exchange): number =>
  target.kind === 'completion'
    ? Math.ceil(Buffer.byteLength(target.prompt) / ESTIMATED_BYTES_PER_TOKEN)
    : 0;

/** Runs attempts and records their outcomes. */
export class AttemptExecutor {
  constructor(private readonly options: AttemptDependencies) {}

  /** @throws GoldcrestError with the verdict on this attempt */
  async run(plan: AttemptPlan): Promise<void> {
    const { directory } = this.options;
    const { exchange, selection } = plan;
    const { upstreamId } = selection.upstream;
    const deadline = createDeadline(exchange);
    const signal = plan.signal ? AbortSignal.any([deadline.signal, plan.signal]) : deadline.signal;
    const assertSendable = (): void => this.assertSendable(plan, signal);
    let isDispatched = false;
    let isWithheld = false;
    let isSent = false;
    const onBeforeSend = (): void => {
      isWithheld = true;
      assertSendable();
      isWithheld = false;
      isSent = true;
    };
    try {
      assertSendable();
      isDispatched = true;
      const uncachedTokens = estimatePromptTokens(exchange) - selection.route.expectedCachedTokens;
      directory.recordDispatch(upstreamId, uncachedTokens);
      await this.getRunner(exchange).run(
        this.buildAttempt(plan, deadline, { signal, assertSendable, onBeforeSend }),
      );
      directory.recordOutcome(upstreamId, 'success');
    } catch (cause) {
      const error = deadline.mapError(cause);
      if (isDispatched) this.recordFailure(plan, error, isWithheld);
      const end = findSendEnd(cause, { isSent, isAborted: signal.aborted });
      plan.progress.sends.recordEnd(end);
      if (!canHaveArrived(end)) plan.onDrop?.();
      throw error;
    } finally {
      deadline.clear();
    }
  }

  /** Checks again what may have changed since the upstream was selected. */
  private assertSendable({ exchange, selection }: AttemptPlan, signal: AbortSignal): void {
    const { upstream } = selection;
    exchange.assertSendable();
    if (signal.aborted)
      throw createAttemptError('The attempt was cancelled.', 'not-run', 'dropped');
    if (!this.options.directory.findView(upstream.upstreamId)?.eligible) {
      throw createNoUpstreamRefusal();
    }
  }

  private buildAttempt(
    { exchange, selection, progress, onResponseStart }: AttemptPlan,
    deadline: Deadline,
    checks: Pick<Attempt, 'signal' | 'assertSendable' | 'onBeforeSend'>,
  ): Attempt {
    const { observer } = this.options;
    return {
      attemptId: toId<AttemptId>(randomUUID()),
      exchange,
      ...selection,
      ...checks,
      relayedEvents: progress.relayedEvents,
      onFirstByte: () => {
        onResponseStart?.();
        deadline.clear();
        observer.onFirstByte(exchange, selection.upstream);
      },
      onUsage: (usage) =>
        observer.onUsage(exchange, selection.upstream, usage, selection.route.expectedCachedTokens),
    };
  }

  private getRunner(exchange: Exchange): AttemptRunner {
    return exchange.target.kind === 'completion'
      ? this.options.completionRunner
      : this.options.serviceRunner;
  }

  private recordFailure(plan: AttemptPlan, error: unknown, isWithheld: boolean): void {
    const { exchange, selection, progress, signal } = plan;
    const { upstream } = selection;
    const isCancelled = exchange.signal.aborted || signal?.aborted === true;
    const isTyped = isGoldcrestError(error);
    const outcome = isCancelled || isWithheld || !isTyped ? 'neutral' : decideFailureOutcome(error);
    this.options.directory.recordOutcome(upstream.upstreamId, outcome);
    if (!isTyped || signal?.aborted) return;
    addExclusion(progress, selection);
    exchange.verdict = combineVerdicts(exchange.verdict, error.verdict);
    this.options.observer.onFailure(exchange, upstream, error);
  }
}
