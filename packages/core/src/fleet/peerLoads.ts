import type { AvailabilityZoneId, UpstreamId, VmId } from '../ids.js';

/** Load of one VM on one upstream. */
export interface PeerLoad {
  readonly upstreamId: UpstreamId;
  readonly inFlight: number;
  /** Prompt tokens to prefill of requests whose responses have not begun. */
  readonly pendingTokens: number;
  /** Prompt tokens of all requests in flight, which occupy memory until the requests end. */
  readonly inFlightTokens: number;
}

/** Source of a load report: one VM, or a zone's relay on behalf of the zone. */
export type LoadSource = VmId | AvailabilityZoneId;

interface PeerReport {
  readonly loads: readonly PeerLoad[];
  readonly receivedAtMs: number;
}

interface LoadTotals {
  inFlight: number;
  pendingTokens: number;
  inFlightTokens: number;
}

const ZERO_LOAD: Readonly<LoadTotals> = { inFlight: 0, pendingTokens: 0, inFlightTokens: 0 };

/** Aggregates the load reports of other VMs; reports expire when a VM stops sending. */
export class PeerLoads {
  private readonly reports = new Map<LoadSource, PeerReport>();

  private readonly totalsByUpstream = new Map<UpstreamId, LoadTotals>();

  /** @param maxAgeMs age at which a report expires, in milliseconds */
  constructor(private readonly maxAgeMs: number) {}

  recordReport(source: LoadSource, loads: readonly PeerLoad[]): void {
    this.removeReport(source);
    this.reports.set(source, { loads, receivedAtMs: performance.now() });
    this.addLoads(loads, 1);
  }

  /** Drops expired reports. */
  expireReports(): void {
    const oldestMs = performance.now() - this.maxAgeMs;
    this.reports.forEach(({ receivedAtMs }, source) => {
      if (receivedAtMs < oldestMs) this.removeReport(source);
    });
  }

  /** Returns the total load of the other VMs on an upstream. */
  getTotals(upstreamId: UpstreamId): Readonly<LoadTotals> {
    return this.totalsByUpstream.get(upstreamId) ?? ZERO_LOAD;
  }

  private removeReport(source: LoadSource): void {
    const report = this.reports.get(source);
    if (!report) return;
    this.reports.delete(source);
    this.addLoads(report.loads, -1);
  }

  private addLoads(loads: readonly PeerLoad[], sign: 1 | -1): void {
    loads.forEach(({ upstreamId, inFlight, pendingTokens, inFlightTokens }) => {
      const totals = this.totalsByUpstream.get(upstreamId) ?? { ...ZERO_LOAD };
      totals.inFlight += sign * inFlight;
      totals.pendingTokens += sign * pendingTokens;
      totals.inFlightTokens += sign * inFlightTokens;
      if (totals.inFlight === 0) this.totalsByUpstream.delete(upstreamId);
      else this.totalsByUpstream.set(upstreamId, totals);
    });
  }
}
