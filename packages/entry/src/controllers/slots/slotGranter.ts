import {
  computeMinElapsedMs,
  getSlotGroup,
  COLD_ALLOCATION_TTL_MS,
  SlotLedger,
  GRANTER_TAKEOVER_WAIT_MS,
  WARM_GRANTER_TAKEOVER_WAIT_MS,
} from '@goldcrestscale/core';
import type { HeldLease, SlotGrant, SlotReport, VmId } from '@goldcrestscale/core';
import type { PeerIdentity } from '../../mesh/index.js';
import { INQUIRY_RETRY_INTERVAL_MS } from './constants.js';

/** Options of a slot granter. */
export interface SlotGranterOptions {
  readonly self: PeerIdentity;
  /** Returns the lease of a group if this VM holds it now. */
  readonly findHeldLease: (group: string) => HeldLease | undefined;
  /** Entry VMs on the VM list. */
  readonly listEntryVms: () => readonly VmId[];
  /** Whether this VM owns a group with this epoch, even if the lease has expired. */
  readonly isOwner: (group: string, epoch: number) => boolean;
  /** Lists this VM's own reports for a group. */
  readonly listOwnReports: (group: string) => readonly SlotReport[];
  /** Requests a VM's reports for a group. */
  readonly fetchReports: (vmId: VmId, group: string) => Promise<readonly SlotReport[]>;
  /** Whether this is the only VM, which then needs no lease. */
  readonly isSingleVm: boolean;
}

interface LeaseTerm {
  readonly epoch: number;
  readonly reportedVms: Set<VmId>;
  readonly inquirySentAtMs: Map<VmId, number>;
}

const SINGLE_VM_LEASE: HeldLease = { epoch: 0, heldSince: { monotonicMs: -Infinity, wallMs: 0 } };

/** Grants slots of the upstream groups whose lease this VM holds. */
export class SlotGranter {
  private readonly ledgers = new Map<string, SlotLedger>();

  private readonly terms = new Map<string, LeaseTerm>();

  constructor(private readonly options: SlotGranterOptions) {}

  /** Handles a report synchronously; undefined if this VM is not the granter. */
  handleReport(from: PeerIdentity, report: SlotReport): SlotGrant | undefined {
    const group = getSlotGroup(report.upstreamId);
    const lease = this.findHeldLease(group);
    if (!lease) return undefined;
    const term = this.ensureTerm(group, lease.epoch);
    const heldForMs = computeMinElapsedMs(lease.heldSince);
    const unreportedVms = heldForMs < COLD_ALLOCATION_TTL_MS ? this.listUnreportedVms(term) : [];
    if (!report.isWarm) unreportedVms.forEach((vmId) => this.sendInquiry(group, vmId, term));
    return this.ensureLedger(report).applyReport(from.vmId, report, {
      canGrantCold: heldForMs >= GRANTER_TAKEOVER_WAIT_MS && unreportedVms.length === 0,
      canGrantWarm: heldForMs >= WARM_GRANTER_TAKEOVER_WAIT_MS,
    });
  }

  /** Drops idle ledgers, and those of groups that this VM no longer grants. */
  prune(): void {
    this.terms.forEach((term, group) => {
      // The ledgers of an expired lease stay valid: while its epoch stands, no other VM has
      // granted.
      if (!this.options.isSingleVm && !this.options.isOwner(group, term.epoch)) {
        this.terms.delete(group);
      }
    });
    this.ledgers.forEach((ledger, key) => {
      const [group] = key.split(' ') as [string];
      if (!this.terms.has(group) || ledger.isIdle()) this.ledgers.delete(key);
    });
  }

  /** Returns the state for the state dump. */
  dump(): unknown {
    return Object.fromEntries([...this.ledgers].map(([key, ledger]) => [key, ledger.dump()]));
  }

  private findHeldLease(group: string): HeldLease | undefined {
    return this.options.isSingleVm ? SINGLE_VM_LEASE : this.options.findHeldLease(group);
  }

  private ensureTerm(group: string, epoch: number): LeaseTerm {
    const existing = this.terms.get(group);
    if (existing?.epoch === epoch) return existing;
    // Another granter may have changed the slots since the previous term.
    [...this.ledgers.keys()]
      .filter((key) => key.startsWith(`${group} `))
      .forEach((key) => this.ledgers.delete(key));
    const reportedVms = new Set([this.options.self.vmId]);
    const term: LeaseTerm = { epoch, reportedVms, inquirySentAtMs: new Map() };
    this.terms.set(group, term);
    this.addReports(group, this.options.self.vmId, term, this.options.listOwnReports(group));
    return term;
  }

  private ensureLedger(report: SlotReport): SlotLedger {
    const key = `${getSlotGroup(report.upstreamId)} ${report.upstreamId} ${report.bootId}`;
    const ledger = this.ledgers.get(key) ?? new SlotLedger();
    this.ledgers.set(key, ledger);
    return ledger;
  }

  private listUnreportedVms(term: LeaseTerm): readonly VmId[] {
    if (this.options.isSingleVm) return [];
    return this.options.listEntryVms().filter((vmId) => !term.reportedVms.has(vmId));
  }

  private sendInquiry(group: string, vmId: VmId, term: LeaseTerm): void {
    const nowMs = performance.now();
    if (nowMs - (term.inquirySentAtMs.get(vmId) ?? -Infinity) < INQUIRY_RETRY_INTERVAL_MS) return;
    term.inquirySentAtMs.set(vmId, nowMs);
    this.options.fetchReports(vmId, group).then(
      (reports) => this.addReports(group, vmId, term, reports),
      () => undefined,
    );
  }

  private addReports(
    group: string,
    vmId: VmId,
    term: LeaseTerm,
    reports: readonly SlotReport[],
  ): void {
    if (this.terms.get(group) !== term || this.findHeldLease(group)?.epoch !== term.epoch) return;
    const permission = { canGrantCold: false, canGrantWarm: false };
    reports
      .filter((report) => getSlotGroup(report.upstreamId) === group)
      .forEach((report) => this.ensureLedger(report).applyReport(vmId, report, permission));
    term.reportedVms.add(vmId);
  }
}
