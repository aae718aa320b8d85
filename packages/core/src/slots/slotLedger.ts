import type { VmId } from '../ids.js';
import { computeLongestElapsed, computeShortestElapsed, getNow } from '../lease/index.js';
import type { Moment } from '../lease/index.js';
import {
  GRANT_MS,
  LEDGER_IDLE_MS,
  RAMP_PER_COMPLETION,
  SILENT_COLD_HOLD_MS,
  SILENT_WARM_HOLD_MS,
} from './constants.js';
import { computeFairLimit } from './fairLimit.js';
import type { SlotGrant, SlotReport } from './slotMessages.js';

interface MemberCharge {
  readonly sequence: number;
  /** Most requests that the member may have in flight. */
  readonly slots: number;
  readonly demand: number;
  readonly completed: number;
  readonly reportedAt: Moment;
}

/** What a granter may do at this moment. */
export interface GrantPermission {
  /** Whether all slots that an earlier granter gave are known or have run out. */
  readonly canGrantCold: boolean;
  /** Whether the members have had time to report. */
  readonly canGrantWarm: boolean;
}

/** A granter's account of one run of one upstream. */
export class SlotLedger {
  private readonly members = new Map<VmId, MemberCharge>();

  private isWarm = false;

  private maxConcurrent = 1;

  private coldConcurrent = 0;

  private reportedAt = getNow();

  /**
   * Takes in a report and grants slots.
   *
   * @returns undefined where a newer report of the member is known
   */
  accept(member: VmId, report: SlotReport, permission: GrantPermission): SlotGrant | undefined {
    const known = this.members.get(member);
    if (known && known.sequence >= report.sequence) return undefined;
    this.noteUpstream(report);
    const own = Math.max(report.slots, report.inFlight);
    this.charge(member, report, own);
    const limit = this.computeLimit();
    const granted = this.computeGrant(own, report.wanted, limit, permission);
    this.charge(member, report, own + granted);
    return { sequence: report.sequence, granted, limit: Math.min(limit, this.maxConcurrent) };
  }

  /** Computes the requests that the upstream bears at once. */
  computeCapacity(): number {
    if (!this.isWarm) return this.coldConcurrent;
    const completed = [...this.members.values()].reduce((sum, { completed: own }) => sum + own, 0);
    return Math.min(this.maxConcurrent, this.coldConcurrent + completed * RAMP_PER_COMPLETION);
  }

  /** Sums up the requests that may be in flight by what is known. */
  sumCharges(): number {
    this.dropSilent();
    return [...this.members.values()].reduce((sum, { slots }) => sum + slots, 0);
  }

  /** Tells whether nobody has reported for long. */
  isIdle(): boolean {
    return computeShortestElapsed(this.reportedAt) > LEDGER_IDLE_MS;
  }

  /** Gives the state for the dump. */
  dump(): unknown {
    return {
      isWarm: this.isWarm,
      capacity: this.computeCapacity(),
      members: Object.fromEntries([...this.members].map(([key, { slots }]) => [key, slots])),
    };
  }

  private noteUpstream(report: SlotReport): void {
    this.isWarm ||= report.isWarm;
    this.maxConcurrent = report.maxConcurrent;
    this.coldConcurrent = Math.min(report.coldConcurrent, report.maxConcurrent);
    this.reportedAt = getNow();
  }

  private charge(member: VmId, report: SlotReport, slots: number): void {
    this.members.set(member, {
      sequence: report.sequence,
      slots,
      demand: report.inFlight + report.wanted,
      completed: Math.max(report.completed, this.members.get(member)?.completed ?? 0),
      reportedAt: getNow(),
    });
  }

  private computeLimit(): number {
    const active = [...this.members.values()].filter(
      ({ reportedAt }) => computeLongestElapsed(reportedAt) < GRANT_MS,
    );
    const demands = active.map(({ demand }) => demand);
    return this.isWarm ? computeFairLimit(this.computeCapacity(), demands) : Infinity;
  }

  private computeGrant(
    own: number,
    wanted: number,
    limit: number,
    permission: GrantPermission,
  ): number {
    if (!(this.isWarm ? permission.canGrantWarm : permission.canGrantCold)) return 0;
    const free = this.computeCapacity() - this.sumCharges();
    const chunk = this.isWarm ? Math.min(wanted, limit - own) : Math.min(wanted, 1);
    return Math.max(0, Math.min(chunk, free));
  }

  private dropSilent(): void {
    const holdMs = this.isWarm ? SILENT_WARM_HOLD_MS : SILENT_COLD_HOLD_MS;
    this.members.forEach((member, key) => {
      if (member.slots === 0 || computeShortestElapsed(member.reportedAt) < holdMs) return;
      this.members.set(key, { ...member, slots: 0, demand: 0 });
    });
  }
}
