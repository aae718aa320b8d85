import type {
  AnnouncedRates,
  CrashQuarantine,
  EjectionPolicy,
  FleetRetryBudget,
  RejectionLimits,
  UpstreamRegistry,
} from '@goldcrestscale/core';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import { assertPromptAllowed, assertRequestAllowed } from '../filters/quarantineFilter.js';
import { assertServing } from '../filters/shutdownFilter.js';
import type { GatewayMetrics } from '../metrics.js';
import type { AttemptMetadata, BlockTransfers } from '../ports/index.js';
import type { RequestLog } from '../requestLog.js';
import type { AttemptMetadataBuilder } from './attemptMetadataBuilder.js';
import { assertWaiting } from './dispatchErrors.js';
import type { RequestProgress } from './requestProgress.js';
import type { UpstreamChoice, UpstreamChooser } from './upstreamChooser.js';

/** Dependencies of the gate. */
export interface SendGateOptions {
  readonly chooser: UpstreamChooser;
  readonly registry: UpstreamRegistry;
  readonly quarantine: CrashQuarantine;
  readonly announcedRates: AnnouncedRates;
  readonly rejectionLimits: RejectionLimits;
  readonly ejection: EjectionPolicy;
  readonly retryBudget: FleetRetryBudget;
  readonly metrics: GatewayMetrics;
  readonly requestLog: RequestLog;
  /** Whether this VM shuts down and takes no requests any more. */
  readonly isRefusing: () => boolean;
  /** Called with the tokens that an engine has to prefill for a prompt that is being sent. */
  readonly onPromptSent: (tokens: number) => void;
}

/** Why a request is not sent to the chosen upstream; another one may be chosen. */
export interface WithheldSend {
  readonly withheld: string;
}

/**
 * The last check of every request, right before it is written to an upstream. What was true when the
 * request was read, or when its upstream was chosen, may not be true any more.
 */
export class SendGate {
  constructor(
    private readonly options: SendGateOptions,
    private readonly metadataBuilder: AttemptMetadataBuilder,
  ) {}

  /**
   * Takes what the request needs to be sent. No await may come between this and the write.
   *
   * @throws a refusal if the request must not be sent at all
   */
  claim(
    exchange: GatewayExchange,
    choice: UpstreamChoice,
    progress: RequestProgress,
    signal: AbortSignal,
  ): AttemptMetadata | WithheldSend {
    const { chooser, registry, quarantine, retryBudget } = this.options;
    const { upstream } = choice;
    assertWaiting(exchange, signal);
    // A request that waited for its body may be read long before it could be sent.
    if (!exchange.isSent) assertServing(this.options.isRefusing);
    assertPromptAllowed(exchange, quarantine);
    assertRequestAllowed(exchange, quarantine);
    if (registry.find(upstream.upstreamId) !== upstream) return { withheld: 'upstream is gone' };
    if (!chooser.isEligible(exchange, upstream, progress.excluded)) {
      return { withheld: 'upstream is not eligible any more' };
    }
    if (!progress.sends.isNextFree && !retryBudget.canRetry(progress.service)) {
      return { withheld: 'retry budget is exhausted' };
    }
    if (!chooser.takePermit(upstream)) return { withheld: 'no permit is left' };
    const metadata = this.metadataBuilder.build(exchange, choice, progress);
    this.recordSend(exchange, choice, progress);
    this.recordFetch(exchange, choice, metadata.transfers);
    exchange.isSent = true;
    return metadata;
  }

  private recordFetch(
    { head }: GatewayExchange,
    { upstream: { upstreamId } }: UpstreamChoice,
    transfers: BlockTransfers | undefined,
  ): void {
    if (!transfers || transfers.proofs.size === 0) return;
    const { metrics, requestLog } = this.options;
    const { proofs, fetchDeadlineMs: untilMs } = transfers;
    proofs.forEach((proof) => proof && metrics.observeEpochAge(proof.ageMs));
    const stores = [...proofs].map(([address, proof]) => ({ address, ...proof }));
    requestLog.logDetail('cached parts are fetched', {
      id: head.requestId,
      upstreamId,
      stores,
      untilMs,
    });
  }

  private recordSend(
    exchange: GatewayExchange,
    { upstream, prefillTokens }: UpstreamChoice,
    progress: RequestProgress,
  ): void {
    const { announcedRates, metrics, ejection, chooser, retryBudget, onPromptSent } = this.options;
    if (!progress.sends.isNextFree) {
      retryBudget.recordRetry(progress.service);
      metrics.countRepeat(progress.service);
    }
    if (announcedRates.find(upstream.registered)) metrics.countLimitedSend(upstream.upstreamId);
    ejection.recordStart(upstream.upstreamId);
    this.options.rejectionLimits.recordSend(upstream);
    chooser.recordSentParts(exchange, upstream);
    onPromptSent(prefillTokens);
  }
}
