import {
  getSlotGroup,
  GRANT_RESPONSE_TIMEOUT_MS,
  LeaseManager,
  ORDERS_RESOURCE,
} from '@goldcrestscale/core';
import type { LogStream, SlotGrant, SlotPolicy, SlotReport, VmId } from '@goldcrestscale/core';
import type { PeerIdentity, PeerTransport } from '../../mesh/index.js';
import { Controller } from '../controller.js';
import { GroupLeaseManager } from './groupLeaseManager.js';
import { LeasedSlotPolicy } from './leasedSlotPolicy.js';
import { SlotGranter } from './slotGranter.js';
import { slotInquiryMessage, slotReportMessage } from './slotMessages.js';

/** Options of the slots controller in a fleet of several VMs. */
export interface SlotFleet {
  readonly link: PeerTransport;
  /** Log stream of lease records. */
  readonly leaseStream: LogStream;
  /** Entry VMs that are alive and not leaving, including this one. */
  readonly listLive: () => readonly VmId[];
  /** Entry VMs on the VM list, including this one. */
  readonly listEntryVms: () => readonly VmId[];
}

/** Options of the slots controller. */
export interface SlotsOptions {
  readonly self: PeerIdentity;
  /** Absent if this is the only VM. */
  readonly fleet?: SlotFleet;
}

/** Acquires slots of upstreams, and grants them for the groups whose lease this VM holds. */
export class SlotsController extends Controller {
  override readonly name = 'slots';

  /** Leases of this VM; absent if it is the only one. */
  readonly leases: LeaseManager | undefined;

  private readonly policy: LeasedSlotPolicy;

  private readonly granter: SlotGranter;

  private readonly leaseManager: GroupLeaseManager | undefined;

  private signal: AbortSignal = new AbortController().signal;

  constructor(private readonly options: SlotsOptions) {
    super();
    const { self, fleet } = options;
    this.leases = fleet && new LeaseManager(fleet.leaseStream, self);
    this.policy = new LeasedSlotPolicy((report) => this.sendReport(report));
    this.granter = new SlotGranter({
      self,
      findHeldLease: (group) => this.leases?.findHeldLease(group),
      listEntryVms: () => fleet?.listEntryVms() ?? [],
      isOwner: (group, epoch) => this.leases?.table.getOwner(group)?.epoch === epoch,
      listOwnReports: (group) => this.policy.listReports(group),
      fetchReports: (vmId, group) => this.fetchReports(vmId, group),
      isSingleVm: fleet === undefined,
    });
    if (!fleet || !this.leases) return;
    this.leaseManager = new GroupLeaseManager({
      self,
      leases: this.leases,
      listActiveVms: fleet.listLive,
      extraResources: [ORDERS_RESOURCE],
    });
    slotReportMessage.register(fleet.link, (report, { from }) =>
      Promise.resolve(this.granter.handleReport(from, report) ?? null),
    );
    slotInquiryMessage.register(fleet.link, ({ group }) => [...this.policy.listReports(group)]);
  }

  /** Policy through which requests acquire slots. */
  get slots(): SlotPolicy {
    return this.policy;
  }

  override start(signal: AbortSignal): Promise<void> {
    this.signal = signal;
    this.policy.start(signal);
    this.leaseManager?.start(signal);
    const timer = setInterval(() => this.granter.prune(), 1_000);
    signal.addEventListener('abort', () => clearInterval(timer), { once: true });
    return Promise.resolve();
  }

  /** Releases the groups of this VM to other VMs before shutdown. */
  async leave(signal: AbortSignal): Promise<void> {
    await this.leaseManager?.leave(signal);
  }

  override dump(): unknown {
    return {
      used: this.policy.dump(),
      granted: this.granter.dump(),
      owners: this.leases?.table.dump(),
    };
  }

  private async sendReport(report: SlotReport): Promise<SlotGrant | undefined> {
    const { self, fleet } = this.options;
    const owner = this.leases?.table.getOwner(getSlotGroup(report.upstreamId))?.holder;
    if (!fleet || owner?.vmId === self.vmId) return this.granter.handleReport(self, report);
    if (!owner) return undefined;
    const { link } = fleet;
    const grant = await slotReportMessage.request(
      link,
      owner.vmId,
      report,
      this.signal,
      GRANT_RESPONSE_TIMEOUT_MS,
    );
    return grant ?? undefined;
  }

  private async fetchReports(vmId: VmId, group: string): Promise<readonly SlotReport[]> {
    const { fleet } = this.options;
    if (!fleet) return [];
    return slotInquiryMessage.request(fleet.link, vmId, { group }, this.signal);
  }
}
