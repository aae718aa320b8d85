import { REQUESTS_STALL_TIMEOUT_MS } from '@goldcrestscale/core';
import type {
  AnnouncedRates,
  CrashQuarantine,
  PlaceAdmission,
  SentParts,
  UpstreamId,
  UpstreamReach,
  UpstreamRegistry,
  VmId,
} from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import type { GossipMessage } from './gossipMessage.js';

/** Dependencies of the builder. */
export interface ReportOptions {
  readonly self: VmId;
  readonly registry: UpstreamRegistry;
  readonly sentParts: SentParts;
  readonly quarantine: CrashQuarantine;
  readonly announcedRates: AnnouncedRates;
  readonly places: Pick<PlaceAdmission, 'listWaiting'>;
  readonly listLoading: () => readonly UpstreamId[];
  /** Whether this VM has read its input without a pause for a duration. */
  readonly hasReadFor: (durationMs: number) => boolean;
  readonly reach: Pick<UpstreamReach, 'isCutOff' | 'hasContactSince'>;
  readonly logger: Logger;
}

/** Whether a report is not empty. */
export const hasContent = ({
  loads,
  loading,
  weights,
  down,
  sentParts,
  leaving,
  quarantine,
  rates,
  waiting = [],
}: GossipMessage): boolean =>
  [loads, loading, weights, down, sentParts, leaving, quarantine, rates, waiting].some(
    (list) => list.length > 0,
  );

/** Builds reports of this VM's load, sent parts and observations of upstreams. */
export class ReportBuilder {
  private sequence = Date.now();

  constructor(private readonly options: ReportOptions) {}

  /** Returns the next sequence number. It starts from the clock, so it also increases over restarts. */
  takeNextSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }

  build(): GossipMessage {
    const { self, registry, listLoading, sentParts, quarantine, announcedRates } = this.options;
    const upstreams = registry.list();
    return {
      vmId: self,
      sequence: this.takeNextSequence(),
      loads: upstreams
        .filter(({ inFlight }) => inFlight > 0)
        .map(({ upstreamId, inFlight, pendingTokens, inFlightTokens }) => ({
          upstreamId,
          inFlight,
          pendingTokens,
          inFlightTokens,
        })),
      loading: listLoading(),
      weights: upstreams.flatMap((upstream) =>
        upstream
          .listReportedWeights()
          .map((weights) => ({ upstreamId: upstream.upstreamId, ...weights })),
      ),
      down: this.listDown(),
      leaving: upstreams
        .filter((upstream) => upstream.isLeavingUnregistered)
        .map(({ upstreamId, registered }) => ({
          upstreamId,
          startedAtMs: registered.startedAtMs,
        })),
      sentParts: sentParts.takeUnannounced(),
      quarantine: quarantine.takeRows(),
      rates: announcedRates.takeRows(),
      waiting: this.options.places.listWaiting(),
    };
  }

  /**
   * Marks unresponsive upstreams as down and lists them; those that only peers reported are omitted. A
   * VM that gets no byte of any upstream is no witness against them.
   */
  private listDown(): readonly UpstreamId[] {
    const { hasReadFor, reach, registry } = this.options;
    // After a pause, the bytes of live upstreams may still wait to be read.
    if (!hasReadFor(REQUESTS_STALL_TIMEOUT_MS) || reach.isCutOff) return [];
    const down = this.markStalled(registry);
    return reach.hasContactSince(performance.now() - REQUESTS_STALL_TIMEOUT_MS) ? down : [];
  }

  private markStalled(registry: UpstreamRegistry): readonly UpstreamId[] {
    return registry
      .list()
      .filter((upstream) => upstream.isStalled)
      .map((upstream) => {
        if (!upstream.isDown) {
          this.options.logger.warn('upstream unresponsive', { upstreamId: upstream.upstreamId });
        }
        upstream.markDown();
        return upstream.upstreamId;
      });
  }
}
