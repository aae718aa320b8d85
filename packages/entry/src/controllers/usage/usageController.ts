import {
  AdmissionQueue,
  FairSharePolicy,
  PeerUsageExchange,
  USAGE_REPORT_INTERVAL_MS,
  UsageReporter,
  isFullReportRound,
} from '@goldcrestscale/core';
import type {
  AdmissionPolicy,
  FleetPosition,
  PoolId,
  UpstreamId,
  UpstreamUsage,
  VmId,
} from '@goldcrestscale/core';
import type { PeerTransport } from '../../mesh/index.js';
import { Controller } from '../controller.js';
import { usageMessage } from './usageMessage.js';

/** Maximum fleet size at which entry VMs exchange their in-flight counts per upstream. */
const MAX_VMS_SHARING_IN_FLIGHT = 32;

/** Options of the usage controller. */
export interface UsageOptions {
  readonly link: PeerTransport;
  /** Lists the entry VMs of the fleet, including this one. */
  listEntryVms(): readonly VmId[];
  /** Sums the concurrency limits of the upstreams of a pool. */
  countCapacity(poolId: PoolId): number;
  /** Lists the upstreams to which this VM has requests in flight. */
  listInFlight(): readonly UpstreamUsage[];
  /** @default a FairSharePolicy */
  readonly policy?: AdmissionPolicy;
}

/** Admits requests, and exchanges usage reports with the connected entry VMs. */
export class UsageController extends Controller {
  override readonly name = 'usage';

  readonly queue: AdmissionQueue;

  private readonly exchange: PeerUsageExchange;

  private readonly reporter = new UsageReporter();

  private readonly poolCapacities = new Map<PoolId, number>();

  private fleetPosition: FleetPosition;

  private reportRound = 0;

  constructor(private readonly options: UsageOptions) {
    super();
    const { link, policy = new FairSharePolicy() } = options;
    this.fleetPosition = this.computeFleetPosition();
    this.exchange = new PeerUsageExchange(() => this.fleetPosition);
    this.queue = new AdmissionQueue({
      policy,
      usageExchange: this.exchange,
      countCapacity: (poolId) => this.countCapacity(poolId),
    });
    usageMessage.register(link, (report, { from }) => {
      this.exchange.receiveReport(from.vmId, report);
      this.queue.drain();
    });
  }

  override start(signal: AbortSignal): Promise<void> {
    const timer = setInterval(() => this.sendReport(), USAGE_REPORT_INTERVAL_MS);
    signal.addEventListener('abort', () => clearInterval(timer), { once: true });
    return Promise.resolve();
  }

  /** Returns the summed concurrency limits of a pool, cached until the next usage report. */
  countCapacity(poolId: PoolId): number {
    const cached = this.poolCapacities.get(poolId);
    if (cached !== undefined) return cached;
    const capacity = this.options.countCapacity(poolId);
    // Zero is not cached, so that the next request sees a new upstream at once.
    if (capacity > 0) this.poolCapacities.set(poolId, capacity);
    return capacity;
  }

  /** Counts the in-flight requests of the other VMs at an upstream; undefined if unknown. */
  countInFlight(upstreamId: UpstreamId): number | undefined {
    if (this.fleetPosition.vmCount > MAX_VMS_SHARING_IN_FLIGHT) return undefined;
    return this.exchange.countInFlight(upstreamId);
  }

  override dump(): unknown {
    const { vmCount, reportingVmCount, rank } = this.exchange.getPeerUsage();
    return { vmCount, heardCount: reportingVmCount, rank, pools: this.queue.dump() };
  }

  private sendReport(): void {
    const { link } = this.options;
    this.poolCapacities.clear();
    this.fleetPosition = this.computeFleetPosition();
    const connected = link.listConnectedPeers().map((peer) => peer.vmId);
    const connectedIds = new Set(connected);
    this.exchange.pruneReports((vmId) => connectedIds.has(vmId));
    const report = this.reporter.buildReport(
      this.queue.reportUsage(),
      isFullReportRound(this.reportRound),
      // VMs of a large fleet are connected to neighbours only, so they rely on load reports
      // instead.
      this.fleetPosition.vmCount <= MAX_VMS_SHARING_IN_FLIGHT ? this.options.listInFlight() : [],
    );
    this.reportRound += 1;
    if (report) connected.forEach((vmId) => usageMessage.send(link, vmId, report));
    this.queue.drain();
  }

  private computeFleetPosition(): FleetPosition {
    const vms = [...this.options.listEntryVms()].sort();
    const rank = Math.max(0, vms.indexOf(this.options.link.self.vmId));
    return { vmCount: Math.max(1, vms.length), rank };
  }
}
