import type { VmId } from '../ids.js';
import { computeMaxElapsedMs, computeMinElapsedMs, readClocks } from '../lease/index.js';
import type { ClockReading } from '../lease/index.js';
import {
  GRANT_TTL_MS,
  SLOT_LEDGER_IDLE_TIMEOUT_MS,
  RAMP_SLOTS_PER_COMPLETION,
  COLD_ALLOCATION_TTL_MS,
  WARM_ALLOCATION_TTL_MS,
} from './constants.js';
import { computeFairLimit } from './fairLimit.js';
import type { SlotGrant, SlotReport } from './slotMessages.js';

interface VmAllocation {
  readonly sequence: number;
  /** Maximum number of requests that the VM may have in flight. */
  readonly slots: number;
  readonly demand: number;
  readonly completed: number;
  readonly reportedAt: ClockReading;
}

/** Which grants a granter may currently give. */
export interface GrantPermissions {
  /** Whether all slots granted by a previous granter are known or have expired. */
  readonly canGrantCold: boolean;
  /** Whether the VMs have had time to report. */
  readonly canGrantWarm: boolean;
}

/** Slots allocated by a granter for one boot of an upstream. */
export class SlotLedger {
  private readonly allocations = new Map<VmId, VmAllocation>();

  private isWarm = false;

  private maxConcurrent = 1;

  private coldConcurrent = 0;

  private lastReportAt = readClocks();

  /**
   * Applies a report and grants slots.
   *
   * @returns undefined if a newer report of the VM has already been applied
   */
  applyReport(vmId: VmId, report: SlotReport, permission: GrantPermissions): SlotGrant | undefined {
    const previous = this.allocations.get(vmId);
    if (previous && previous.sequence >= report.sequence) return undefined;
    this.updateUpstream(report);
    const ownSlots = Math.max(report.slots, report.inFlight);
    this.setAllocation(vmId, report, ownSlots);
    const limit = this.computeLimit();
    const granted = this.computeGrant(ownSlots, report.wanted, limit, permission);
    this.setAllocation(vmId, report, ownSlots + granted);
    return { sequence: report.sequence, granted, limit: Math.min(limit, this.maxConcurrent) };
  }

  /** Computes how many requests the upstream can run concurrently. */
  computeCapacity(): number {
    if (!this.isWarm) return this.coldConcurrent;
    const completed = [...this.allocations.values()].reduce(
      (sum, { completed: vmCompleted }) => sum + vmCompleted,
      0,
    );
    return Math.min(
      this.maxConcurrent,
      this.coldConcurrent + completed * RAMP_SLOTS_PER_COMPLETION,
    );
  }

  /** Sums the slots allocated to all VMs after dropping expired allocations. */
  sumAllocatedSlots(): number {
    this.expireAllocations();
    return [...this.allocations.values()].reduce((sum, { slots }) => sum + slots, 0);
  }

  /** Returns whether no report has arrived within SLOT_LEDGER_IDLE_TIMEOUT_MS. */
  isIdle(): boolean {
    return computeMinElapsedMs(this.lastReportAt) > SLOT_LEDGER_IDLE_TIMEOUT_MS;
  }

  /** Returns the state for debugging output. */
  dump(): unknown {
    return {
      isWarm: this.isWarm,
      capacity: this.computeCapacity(),
      members: Object.fromEntries([...this.allocations].map(([key, { slots }]) => [key, slots])),
    };
  }

  private updateUpstream(report: SlotReport): void {
    this.isWarm ||= report.isWarm;
    this.maxConcurrent = report.maxConcurrent;
    this.coldConcurrent = Math.min(report.coldConcurrent, report.maxConcurrent);
    this.lastReportAt = readClocks();
  }

  private setAllocation(vmId: VmId, report: SlotReport, slots: number): void {
    this.allocations.set(vmId, {
      sequence: report.sequence,
      slots,
      demand: report.inFlight + report.wanted,
      completed: Math.max(report.completed, this.allocations.get(vmId)?.completed ?? 0),
      reportedAt: readClocks(),
    });
  }

  private computeLimit(): number {
    const active = [...this.allocations.values()].filter(
      ({ reportedAt }) => computeMaxElapsedMs(reportedAt) < GRANT_TTL_MS,
    );
    const demands = active.map(({ demand }) => demand);
    return this.isWarm ? computeFairLimit(this.computeCapacity(), demands) : Infinity;
  }

  private computeGrant(
    ownSlots: number,
    wanted: number,
    limit: number,
    permission: GrantPermissions,
  ): number {
    if (!(this.isWarm ? permission.canGrantWarm : permission.canGrantCold)) return 0;
    const freeSlots = this.computeCapacity() - this.sumAllocatedSlots();
    const requestedSlots = this.isWarm ? Math.min(wanted, limit - ownSlots) : Math.min(wanted, 1);
    return Math.max(0, Math.min(requestedSlots, freeSlots));
  }

  private expireAllocations(): void {
    const ttlMs = this.isWarm ? WARM_ALLOCATION_TTL_MS : COLD_ALLOCATION_TTL_MS;
    this.allocations.forEach((allocation, vmId) => {
      if (allocation.slots === 0 || computeMinElapsedMs(allocation.reportedAt) < ttlMs) return;
      this.allocations.set(vmId, { ...allocation, slots: 0, demand: 0 });
    });
  }
}
