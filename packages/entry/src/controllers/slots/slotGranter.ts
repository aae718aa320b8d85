import {
  computeShortestElapsed,
  getSlotGroup,
  SILENT_COLD_HOLD_MS,
  SlotLedger,
  TAKEOVER_WAIT_MS,
  WARM_TAKEOVER_WAIT_MS,
} from '@goldcrestscale/core';
import type { HeldLease, SlotGrant, SlotReport, VmId } from '@goldcrestscale/core';
import type { PeerIdentity } from '../../mesh/index.js';
import { INQUIRY_INTERVAL_MS } from './constants.js';

/** What a granter needs. */
export interface SlotGranterOptions {
  readonly self: PeerIdentity;
  /** Gives the lease of a group where this VM holds it at this moment. */
  readonly findHeld: (group: string) => HeldLease | undefined;
  /** Entry VMs of the VM list. */
  readonly listEntryVms: () => readonly VmId[];
  /** Whether this VM is the owner of a group with this epoch, be its lease renewed or not. */
  readonly isOwner: (group: string, epoch: number) => boolean;
  /** Lists this VM's own reports of a group. */
  readonly listOwnReports: (group: string) => readonly SlotReport[];
  /** Asks a VM for its reports of a group. */
  readonly askForReports: (vmId: VmId, group: string) => Promise<readonly SlotReport[]>;
  /** Whether this VM is the only one, so that no lease is needed. */
  readonly isAlone: boolean;
}

interface Term {
  readonly epoch: number;
  readonly answered: Set<VmId>;
  readonly askedAtMs: Map<VmId, number>;
}

const ALONE: HeldLease = { epoch: 0, heldSince: { monotonicMs: -Infinity, wallMs: 0 } };

/** Grants slots of the upstream groups whose lease this VM holds. */
export class SlotGranter {
  private readonly ledgers = new Map<string, SlotLedger>();

  private readonly terms = new Map<string, Term>();

  constructor(private readonly options: SlotGranterOptions) {}

  /** Answers a report; undefined where this VM is not the granter. Nothing awaits in here. */
  accept(from: PeerIdentity, report: SlotReport): SlotGrant | undefined {
    const group = getSlotGroup(report.upstreamId);
    const held = this.findHeld(group);
    if (!held) return undefined;
    const term = this.ensureTerm(group, held.epoch);
    const waitedMs = computeShortestElapsed(held.heldSince);
    const unreported = waitedMs < SILENT_COLD_HOLD_MS ? this.listUnreported(term) : [];
    if (!report.isWarm) unreported.forEach((vmId) => this.askMember(group, vmId, term));
    return this.ensureLedger(report).accept(from.vmId, report, {
      canGrantCold: waitedMs >= TAKEOVER_WAIT_MS && unreported.length === 0,
      canGrantWarm: waitedMs >= WARM_TAKEOVER_WAIT_MS,
    });
  }

  /** Drops the ledgers of groups that this VM does not grant any more, and idle ones. */
  prune(): void {
    this.terms.forEach((term, group) => {
      // A lease that has lapsed keeps its ledgers: nobody else has granted while the epoch stands.
      if (!this.options.isAlone && !this.options.isOwner(group, term.epoch)) {
        this.terms.delete(group);
      }
    });
    this.ledgers.forEach((ledger, key) => {
      const [group] = key.split(' ') as [string];
      if (!this.terms.has(group) || ledger.isIdle()) this.ledgers.delete(key);
    });
  }

  /** Gives the state for the dump. */
  dump(): unknown {
    return Object.fromEntries([...this.ledgers].map(([key, ledger]) => [key, ledger.dump()]));
  }

  private findHeld(group: string): HeldLease | undefined {
    return this.options.isAlone ? ALONE : this.options.findHeld(group);
  }

  private ensureTerm(group: string, epoch: number): Term {
    const known = this.terms.get(group);
    if (known?.epoch === epoch) return known;
    // What was known in an earlier term may have changed under another granter.
    [...this.ledgers.keys()]
      .filter((key) => key.startsWith(`${group} `))
      .forEach((key) => this.ledgers.delete(key));
    const answered = new Set([this.options.self.vmId]);
    const term: Term = { epoch, answered, askedAtMs: new Map() };
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

  private listUnreported(term: Term): readonly VmId[] {
    if (this.options.isAlone) return [];
    return this.options.listEntryVms().filter((vmId) => !term.answered.has(vmId));
  }

  private askMember(group: string, vmId: VmId, term: Term): void {
    const nowMs = performance.now();
    if (nowMs - (term.askedAtMs.get(vmId) ?? -Infinity) < INQUIRY_INTERVAL_MS) return;
    term.askedAtMs.set(vmId, nowMs);
    this.options.askForReports(vmId, group).then(
      (reports) => this.addReports(group, vmId, term, reports),
      () => undefined,
    );
  }

  private addReports(group: string, vmId: VmId, term: Term, reports: readonly SlotReport[]): void {
    if (this.terms.get(group) !== term || this.findHeld(group)?.epoch !== term.epoch) return;
    const permission = { canGrantCold: false, canGrantWarm: false };
    reports
      .filter((report) => getSlotGroup(report.upstreamId) === group)
      .forEach((report) => this.ensureLedger(report).accept(vmId, report, permission));
    term.answered.add(vmId);
  }
}
