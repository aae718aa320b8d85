import { getSlotGroup, GRANT_ANSWER_BOUND_MS, LeaseKeeper } from '@goldcrestscale/core';
import type { LogStream, SlotGrant, SlotPolicy, SlotReport, VmId } from '@goldcrestscale/core';
import type { PeerIdentity, PeerLink } from '../../mesh/index.js';
import { Controller } from '../controller.js';
import { GroupKeeper } from './groupKeeper.js';
import { LeasedSlotPolicy } from './leasedSlotPolicy.js';
import { SlotGranter } from './slotGranter.js';
import { slotInquiryMessage, slotReportMessage } from './slotMessageTypes.js';

/** What the slots controller needs where there are several VMs. */
export interface SlotFleet {
  readonly link: PeerLink;
  /** Stream of lease records. */
  readonly leaseStream: LogStream;
  /** Entry VMs that are alive and not leaving, this one included. */
  readonly listLive: () => readonly VmId[];
  /** Entry VMs of the VM list, this one included. */
  readonly listEntryVms: () => readonly VmId[];
}

/** What the slots controller needs. */
export interface SlotsOptions {
  readonly self: PeerIdentity;
  /** Absent where this is the only VM. */
  readonly fleet?: SlotFleet;
}

/** Holds and grants the slots of upstreams. */
export class SlotsController extends Controller {
  override readonly name = 'slots';

  /** Leases of this VM; absent where it is the only one. */
  readonly leases: LeaseKeeper | undefined;

  private readonly policy: LeasedSlotPolicy;

  private readonly granter: SlotGranter;

  private readonly groups: GroupKeeper | undefined;

  private signal: AbortSignal = new AbortController().signal;

  constructor(private readonly options: SlotsOptions) {
    super();
    const { self, fleet } = options;
    this.leases = fleet && new LeaseKeeper(fleet.leaseStream, self);
    this.policy = new LeasedSlotPolicy((report) => this.sendReport(report));
    this.granter = new SlotGranter({
      self,
      findHeld: (group) => this.leases?.findHeld(group),
      listEntryVms: () => fleet?.listEntryVms() ?? [],
      isOwner: (group, epoch) => this.leases?.table.getOwner(group)?.epoch === epoch,
      listOwnReports: (group) => this.policy.listReports(group),
      askForReports: (vmId, group) => this.askForReports(vmId, group),
      isAlone: fleet === undefined,
    });
    if (!fleet || !this.leases) return;
    this.groups = new GroupKeeper({ self, leases: this.leases, listLive: fleet.listLive });
    slotReportMessage.register(fleet.link, (report, { from }) =>
      Promise.resolve(this.granter.accept(from, report) ?? null),
    );
    slotInquiryMessage.register(fleet.link, ({ group }) => [...this.policy.listReports(group)]);
  }

  /** Where requests take their slots. */
  get slots(): SlotPolicy {
    return this.policy;
  }

  override start(signal: AbortSignal): Promise<void> {
    this.signal = signal;
    this.policy.start(signal);
    this.groups?.start(signal);
    const timer = setInterval(() => this.granter.prune(), 1_000);
    signal.addEventListener('abort', () => clearInterval(timer), { once: true });
    return Promise.resolve();
  }

  /** Hands the groups of this VM over to others, before it shuts down. */
  async leave(signal: AbortSignal): Promise<void> {
    await this.groups?.leave(signal);
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
    if (!fleet || owner?.vmId === self.vmId) return this.granter.accept(self, report);
    if (!owner) return undefined;
    const { link } = fleet;
    const grant = await slotReportMessage.request(
      link,
      owner.vmId,
      report,
      this.signal,
      GRANT_ANSWER_BOUND_MS,
    );
    return grant ?? undefined;
  }

  private async askForReports(vmId: VmId, group: string): Promise<readonly SlotReport[]> {
    const { fleet } = this.options;
    if (!fleet) return [];
    return slotInquiryMessage.request(fleet.link, vmId, { group }, this.signal);
  }
}
