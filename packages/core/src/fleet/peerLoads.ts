import type { AvailabilityZoneId, UpstreamId, VmId } from '../ids.js';

/** What one VM has at one upstream. */
export interface PeerLoad {
  readonly upstreamId: UpstreamId;
  /** Requests in flight. */
  readonly inFlight: number;
  /** Prompt tokens to read for requests whose answers have not begun. */
  readonly pendingTokens: number;
  /** Prompt tokens of all requests in flight, which take memory until they end. */
  readonly heldTokens: number;
}

/** Who tells: one VM, or a zone's relay for all VMs of the zone. */
export type LoadSource = VmId | AvailabilityZoneId;

interface PeerReport {
  readonly loads: readonly PeerLoad[];
  readonly receivedAtMs: number;
}

interface Sum {
  inFlight: number;
  pendingTokens: number;
  heldTokens: number;
}

const NOTHING: Readonly<Sum> = { inFlight: 0, pendingTokens: 0, heldTokens: 0 };

/** Sums up what the other VMs tell of their requests; the report of a silent VM expires. */
export class PeerLoads {
  private readonly reports = new Map<LoadSource, PeerReport>();

  private readonly sums = new Map<UpstreamId, Sum>();

  /** @param maxAgeMs age at which a report no longer counts, in milliseconds */
  constructor(private readonly maxAgeMs: number) {}

  note(source: LoadSource, loads: readonly PeerLoad[]): void {
    this.remove(source);
    this.reports.set(source, { loads, receivedAtMs: performance.now() });
    this.add(loads, 1);
  }

  /** Drops the reports that are too old. */
  expire(): void {
    const oldestMs = performance.now() - this.maxAgeMs;
    this.reports.forEach(({ receivedAtMs }, source) => {
      if (receivedAtMs < oldestMs) this.remove(source);
    });
  }

  /** Gives what all other VMs have at an upstream. */
  sum(upstreamId: UpstreamId): Readonly<Sum> {
    return this.sums.get(upstreamId) ?? NOTHING;
  }

  private remove(source: LoadSource): void {
    const report = this.reports.get(source);
    if (!report) return;
    this.reports.delete(source);
    this.add(report.loads, -1);
  }

  private add(loads: readonly PeerLoad[], sign: 1 | -1): void {
    loads.forEach(({ upstreamId, inFlight, pendingTokens, heldTokens }) => {
      const sum = this.sums.get(upstreamId) ?? { ...NOTHING };
      sum.inFlight += sign * inFlight;
      sum.pendingTokens += sign * pendingTokens;
      sum.heldTokens += sign * heldTokens;
      if (sum.inFlight === 0) this.sums.delete(upstreamId);
      else this.sums.set(upstreamId, sum);
    });
  }
}
