import type { SentParts, UpstreamId, UpstreamRegistry, VmId } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import type { GossipMessage } from './gossipMessage.js';

/** What a report is built from. */
export interface ReportOptions {
  readonly self: VmId;
  readonly registry: UpstreamRegistry;
  readonly sent: SentParts;
  readonly listLoading: () => readonly UpstreamId[];
  readonly logger: Logger;
}

/** Tells whether a report says anything. */
export const hasNews = ({ loads, loading, weights, down, sent }: GossipMessage): boolean =>
  [loads, loading, weights, down, sent].some((list) => list.length > 0);

/** Builds what this VM tells the others of its own requests and findings. */
export class ReportBuilder {
  private sequence = Date.now();

  constructor(private readonly options: ReportOptions) {}

  /** Gives the number of the next message; numbers grow over restarts too. */
  takeSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }

  build(): GossipMessage {
    const { self, registry, listLoading, sent } = this.options;
    const upstreams = registry.list();
    return {
      vmId: self,
      sequence: this.takeSequence(),
      loads: upstreams
        .filter(({ inFlight }) => inFlight > 0)
        .map(({ upstreamId, inFlight, pendingTokens, heldTokens }) => ({
          upstreamId,
          inFlight,
          pendingTokens,
          heldTokens,
        })),
      loading: listLoading(),
      weights: upstreams.flatMap((upstream) =>
        upstream.listLearnedWeights().map((held) => ({ upstreamId: upstream.upstreamId, ...held })),
      ),
      down: this.listDown(),
      sent: sent.takeNews(),
    };
  }

  /** Notes the upstreams that have fallen silent and lists them; what others told is not repeated. */
  private listDown(): readonly UpstreamId[] {
    return this.options.registry
      .list()
      .filter((upstream) => upstream.isSilent)
      .map((upstream) => {
        if (!upstream.isDown) {
          this.options.logger.warn('upstream silent', { upstreamId: upstream.upstreamId });
        }
        upstream.noteDown();
        return upstream.upstreamId;
      });
  }
}
