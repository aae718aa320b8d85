import type { TrackedUpstream } from '@goldcrestscale/core';

/** The load of one request at an upstream, counted from the choice of the upstream on. */
export class LoadReservation {
  private isPrefillPending = true;

  /**
   * @param prefillTokens prompt tokens to prefill
   * @param promptTokens tokens of the entire prompt
   */
  constructor(
    private readonly upstream: TrackedUpstream,
    private readonly prefillTokens: number,
    private readonly promptTokens: number,
  ) {
    upstream.recordDispatch(prefillTokens, promptTokens);
  }

  recordResponseStart(): void {
    if (this.isPrefillPending) this.upstream.recordResponseStart(this.prefillTokens);
    this.isPrefillPending = false;
  }

  /** @param isSent whether the request was sent to the upstream */
  release(isSent: boolean): void {
    if (!isSent) {
      this.upstream.withdrawDispatch(this.prefillTokens, this.promptTokens);
      return;
    }
    this.recordResponseStart();
    this.upstream.recordCompletion(this.promptTokens);
  }
}
