import { MIN_PREFILL_SAMPLE_TOKENS } from '@goldcrestscale/core';
import type { UpstreamPaces } from '@goldcrestscale/core';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import { requireRoute } from '../filters/gatewayExchange.js';
import type { ResponseHead } from '../ports/index.js';
import { isSuccess } from './upstreamAttempt.js';
import type { UpstreamChoice, UpstreamChooser } from './upstreamChooser.js';

/** Dependencies of the observation. */
export interface SpeedObservationOptions {
  readonly chooser: Pick<UpstreamChooser, 'prefillRate'>;
  readonly paces: UpstreamPaces;
}

/** Kind of work of all prompts, whose times are compared by token. */
const PREFILL_KIND = 'prefill';

/** What one attempt tells of the speed of its upstream; created before its load is counted. */
export class SpeedObservation {
  private sentAtMs = performance.now();

  private isWaiting = false;

  /** Prompt tokens that the upstream has to prefill before the first token. */
  private readonly tokens: number;

  constructor(
    private readonly exchange: GatewayExchange,
    private readonly choice: UpstreamChoice,
    private readonly options: SpeedObservationOptions,
  ) {
    this.tokens = choice.prefillTokens + choice.upstream.estimatePendingTokens();
  }

  recordSend(): void {
    const { upstream, firstTokenMs } = this.choice;
    this.sentAtMs = performance.now();
    this.isWaiting = true;
    upstream.speed.recordSend(firstTokenMs);
  }

  /** Records the head of a response. @returns the time from the send to the head, in milliseconds */
  recordHead(head: ResponseHead): number {
    const elapsedMs = performance.now() - this.sentAtMs;
    this.finish(true);
    if (isSuccess(head.status)) this.recordAnswer(head, elapsedMs);
    return elapsedMs;
  }

  /** Ends the wait for the head, if it still lasts. */
  finish(hasHead = false): void {
    if (this.isWaiting) this.choice.upstream.speed.recordWaitEnd(hasHead);
    this.isWaiting = false;
  }

  private recordAnswer({ load, respondingUpstreamId }: ResponseHead, elapsedMs: number): void {
    const { tokens, options } = this;
    const { upstream } = this.choice;
    const { prompt } = this.exchange.head;
    if (prompt) options.chooser.prefillRate.recordSample(tokens, elapsedMs);
    // Another upstream may answer at the address of one that is gone.
    if ((respondingUpstreamId ?? upstream.upstreamId) !== upstream.upstreamId) return;
    upstream.speed.recordAnswer({
      reported: load?.slowdown,
      elapsedMs,
      ...(prompt
        ? { kind: PREFILL_KIND, units: tokens < MIN_PREFILL_SAMPLE_TOKENS ? 0 : tokens }
        : { kind: requireRoute(this.exchange).name, units: 1 }),
    });
    options.paces.find(upstream)?.recordAnswer();
  }
}
