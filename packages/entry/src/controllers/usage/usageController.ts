import {
  AdmissionQueue,
  FairSharePolicy,
  PeerUsageExchange,
  USAGE_INTERVAL_MS,
  UsageReporter,
  isWholeRound,
} from '@goldcrestscale/core';
import type {
  AdmissionPolicy,
  FleetPlace,
  PoolId,
  UpstreamId,
  UpstreamUsage,
  VmId,
} from '@goldcrestscale/core';
import type { PeerLink } from '../../mesh/index.js';
import { Controller } from '../controller.js';
import { usageMessage } from './usageMessage.js';

/** Most entry VMs that tell one another what they have in flight at each upstream. */
const MAX_VMS_IN_FLIGHT = 32;

/** What the usage controller needs. */
export interface UsageOptions {
  readonly link: PeerLink;
  /** Lists the entry VMs of the fleet, this one included. */
  listEntryVms(): readonly VmId[];
  /** Counts the requests that the upstreams of a pool bear at once. */
  countCapacity(poolId: PoolId): number;
  /** Lists the upstreams with requests of this VM in flight. */
  listInFlight(): readonly UpstreamUsage[];
  /** @default a FairSharePolicy */
  readonly policy?: AdmissionPolicy;
}

/** Admits requests, and exchanges usage with the entry VMs that this one is connected to. */
export class UsageController extends Controller {
  override readonly name = 'usage';

  readonly queue: AdmissionQueue;

  private readonly exchange: PeerUsageExchange;

  private readonly reporter = new UsageReporter();

  private readonly capacities = new Map<PoolId, number>();

  private place: FleetPlace;

  private round = 0;

  constructor(private readonly options: UsageOptions) {
    super();
    const { link, policy = new FairSharePolicy() } = options;
    this.place = this.computePlace();
    this.exchange = new PeerUsageExchange(() => this.place);
    this.queue = new AdmissionQueue({
      policy,
      exchange: this.exchange,
      countCapacity: (poolId) => this.countCapacity(poolId),
    });
    usageMessage.register(link, (report, { from }) => {
      this.exchange.receive(from.vmId, report);
      this.queue.drain();
    });
  }

  override start(signal: AbortSignal): Promise<void> {
    const timer = setInterval(() => this.report(), USAGE_INTERVAL_MS);
    signal.addEventListener('abort', () => clearInterval(timer), { once: true });
    return Promise.resolve();
  }

  /** Counts the requests that the upstreams of a pool bear at once, as of the last report. */
  countCapacity(poolId: PoolId): number {
    const known = this.capacities.get(poolId);
    if (known !== undefined) return known;
    const capacity = this.options.countCapacity(poolId);
    // Without upstreams the next request looks again.
    if (capacity > 0) this.capacities.set(poolId, capacity);
    return capacity;
  }

  /** Counts what the other VMs have in flight at an upstream; undefined where that is not known. */
  countInFlight(upstreamId: UpstreamId): number | undefined {
    if (this.place.vmCount > MAX_VMS_IN_FLIGHT) return undefined;
    return this.exchange.countInFlight(upstreamId);
  }

  override dump(): unknown {
    const { vmCount, heardCount, rank } = this.exchange.getOthers();
    return { vmCount, heardCount, rank, pools: this.queue.dump() };
  }

  private report(): void {
    const { link } = this.options;
    this.capacities.clear();
    this.place = this.computePlace();
    const connected = link.listConnected().map((peer) => peer.vmId);
    const names = new Set(connected);
    this.exchange.prune((vmId) => names.has(vmId));
    const report = this.reporter.build(
      this.queue.publishUsage(),
      isWholeRound(this.round),
      // A large fleet hears only neighbours and goes by load reports.
      this.place.vmCount <= MAX_VMS_IN_FLIGHT ? this.options.listInFlight() : [],
    );
    this.round += 1;
    if (report) connected.forEach((vmId) => usageMessage.send(link, vmId, report));
    this.queue.drain();
  }

  private computePlace(): FleetPlace {
    const vms = [...this.options.listEntryVms()].sort();
    const rank = Math.max(0, vms.indexOf(this.options.link.self.vmId));
    return { vmCount: Math.max(1, vms.length), rank };
  }
}
