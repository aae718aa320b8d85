import type {
  CrashQuarantine,
  RegisteredUpstream,
  RequestTrial,
  TrackedUpstream,
  UpstreamReach,
} from '@goldcrestscale/core';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import { buildWholeRequest, findPromptOfAccount } from '../filters/quarantineFilter.js';
import type { RequestLog } from '../requestLog.js';
import type { RequestProgress } from './requestProgress.js';
import type { UpstreamAttempt } from './upstreamAttempt.js';
import type { UpstreamEnds } from './upstreamEnds.js';

/** Dependencies of the observer. */
export interface CrashObserverOptions {
  readonly quarantine: CrashQuarantine;
  readonly upstreamEnds: UpstreamEnds;
  readonly reach: Pick<UpstreamReach, 'isProvedCutOff'>;
  readonly requestLog: RequestLog;
  /** Called when an upstream has ended under a request, or one such request is tried. */
  readonly onRequestCrash: () => void;
}

/** Reports to the quarantine which requests upstreams crashed under, and which they survived. */
export class CrashObserver {
  constructor(private readonly options: CrashObserverOptions) {}

  /** Records that a request is sent, which is a trial if other VMs hold the same one back. */
  recordSend(
    exchange: GatewayExchange,
    { registered }: TrackedUpstream,
    progress: RequestProgress,
  ): void {
    const { quarantine, requestLog, onRequestCrash } = this.options;
    const trial = quarantine.isEmpty
      ? undefined
      : quarantine.beginTrial(buildWholeRequest(exchange));
    if (!trial) return;
    progress.setTrial(trial);
    onRequestCrash();
    requestLog.log('held request is tried', {
      id: exchange.head.requestId,
      route: exchange.route?.name,
      upstreamId: registered.upstreamId,
      startedAtMs: registered.startedAtMs,
    });
  }

  /** Records the outcome of an attempt; must be called before the next one is chosen. */
  recordOutcome(
    exchange: GatewayExchange,
    upstream: TrackedUpstream,
    attempt: UpstreamAttempt,
    progress: RequestProgress,
  ): void {
    // Connections that end because this VM's links are lost tell nothing about requests.
    if (this.options.reach.isProvedCutOff) return;
    this.recordPromptOutcome(exchange, upstream, attempt, progress);
    this.recordRequestOutcome(exchange, upstream, attempt, progress);
  }

  private recordPromptOutcome(
    exchange: GatewayExchange,
    { registered }: TrackedUpstream,
    attempt: UpstreamAttempt,
    progress: RequestProgress,
  ): void {
    const { quarantine } = this.options;
    const prompt = findPromptOfAccount(exchange);
    if (!prompt) return;
    if (attempt.survivedBeginning) quarantine.recordSurvival(prompt);
    if (!attempt.crashedAtBeginning) return;
    if (quarantine.hasSuspect(prompt)) progress.markSuspect();
    quarantine.recordCrash(prompt, registered);
  }

  private recordRequestOutcome(
    exchange: GatewayExchange,
    upstream: TrackedUpstream,
    attempt: UpstreamAttempt,
    progress: RequestProgress,
  ): void {
    const { quarantine } = this.options;
    if (attempt.survivedRequest) quarantine.recordSurvival(buildWholeRequest(exchange));
    if (!attempt.lostRequest) return;
    // Whether the upstream ended is known only after the next attempt would have to begin.
    if (progress.hasLoss || quarantine.hasSuspect(buildWholeRequest(exchange))) {
      progress.markSuspect();
    }
    progress.recordLoss();
    // A request in a queue doesn't run, and an upstream that leaves ends for another reason.
    const isQueued = !attempt.hasHead && upstream.estimateLoad() > upstream.registered.slots;
    if (isQueued || upstream.isLeaving) return;
    void this.recordConfirmedCrash(exchange, upstream, progress.takeTrial());
  }

  private async recordConfirmedCrash(
    exchange: GatewayExchange,
    upstream: TrackedUpstream,
    trial: RequestTrial | undefined,
  ): Promise<void> {
    const { quarantine, upstreamEnds, requestLog, onRequestCrash } = this.options;
    const boot: RegisteredUpstream = upstream.registered;
    const lostAtMs = performance.now();
    const hasEnded = await upstreamEnds.checkEnd(upstream).finally(() => trial?.finish());
    if (!hasEnded || this.options.reach.isProvedCutOff) return;
    quarantine.recordCrash(buildWholeRequest(exchange), boot, performance.now() - lostAtMs);
    onRequestCrash();
    requestLog.log('upstream ended under a request', {
      id: exchange.head.requestId,
      route: exchange.route?.name,
      upstreamId: boot.upstreamId,
      startedAtMs: boot.startedAtMs,
    });
  }
}
