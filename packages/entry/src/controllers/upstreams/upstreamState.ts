import { decideEligibility, toId } from '@goldcrestscale/core';
import type {
  BreakerState,
  ConfigTable,
  EjectionPolicy,
  Eligibility,
  EngineReport,
  ModelId,
  UpstreamId,
  UpstreamView,
  VmRecord,
  WeightVersion,
} from '@goldcrestscale/core';
import type { LoadReport } from './loadReport.js';

/** Part of the configuration table that decides where work may go. */
export type UpstreamTable = Pick<ConfigTable, 'getUpstream' | 'isZoneOut'>;

interface Dispatch {
  readonly atMs: number;
  readonly promptTokens: number;
}

const splitInFlight = (inFlight: number, slots: number) => ({
  running: Math.min(inFlight, slots),
  waiting: Math.max(0, inFlight - slots),
});

/** What this VM knows of one upstream. */
export class UpstreamState {
  private report: LoadReport | undefined;

  /** Time at which the figures of the report were taken, by the runtime's clock. */
  private takenAtMs = 0;

  private receivedAtMs = 0;

  /** Time at which this run of the upstream was first heard of. */
  private bootSeenAtMs = 0;

  private dispatches: Dispatch[] = [];

  /** Attempts of this VM that have not ended. */
  private ownInFlight = 0;

  /** Times at which attempts of this VM have ended. */
  private endsAtMs: number[] = [];

  constructor(private vm: VmRecord) {}

  get upstreamId(): UpstreamId {
    return toId<UpstreamId>(this.vm.vmId);
  }

  get role(): UpstreamView['role'] {
    return this.vm.role === 'service' ? 'service' : 'engine';
  }

  get address(): string {
    return this.vm.address;
  }

  get record(): VmRecord {
    return this.vm;
  }

  updateVm(vm: VmRecord): void {
    this.vm = vm;
  }

  updateLoad(report: LoadReport): void {
    this.receivedAtMs = Date.now();
    if (this.report?.bootId !== report.bootId) this.bootSeenAtMs = this.receivedAtMs;
    this.report = report;
    this.takenAtMs = this.receivedAtMs - report.ageMs;
    this.dispatches = this.dispatches.filter((dispatch) => dispatch.atMs > this.takenAtMs);
    this.endsAtMs = this.endsAtMs.filter((atMs) => atMs > this.takenAtMs);
  }

  /** Notes a request that this VM sends, until a load report covers it. */
  noteDispatch(promptTokens: number): void {
    this.ownInFlight += 1;
    this.dispatches.push({ atMs: Date.now(), promptTokens });
  }

  /** Notes that an attempt of this VM has ended. */
  noteEnd(): void {
    this.ownInFlight -= 1;
    this.endsAtMs.push(Date.now());
  }

  get inFlight(): number {
    return this.ownInFlight;
  }

  /** Names the upstreams that stand in for this one. */
  get group(): string {
    return `${this.vm.role}/${this.report?.model ?? this.vm.service ?? ''}`;
  }

  /** Decides whether the upstream may get new work now, as far as no single request matters. */
  decideEligibility(table: UpstreamTable, breaker: BreakerState): Eligibility {
    const { vm, report } = this;
    if (report === undefined) return { eligible: false, reason: 'load-unknown' };
    const row = table.getUpstream(this.upstreamId);
    return decideEligibility({
      zoneState: table.isZoneOut(vm.availabilityZone) ? 'out' : 'in',
      leaving: vm.state !== 'live' || report.state === 'leaving' || row?.state === 'leaving',
      loading: report.state === 'loading',
      role: this.role,
      wantedRole: this.role,
      breaker,
      cold: false,
      coldConcurrent: report.coldConcurrent,
      inFlight: 0,
      ageMs: Date.now() - this.receivedAtMs,
    });
  }

  /** Gives the view that routing decides on; undefined before the first load report. */
  buildView(
    table: UpstreamTable,
    ejection: Pick<EjectionPolicy, 'getState'>,
    othersInFlight?: number,
  ): UpstreamView | undefined {
    const { report, vm } = this;
    if (report === undefined) return undefined;
    const row = table.getUpstream(this.upstreamId);
    const maxConcurrent = row?.maxConcurrent ?? report.maxConcurrent;
    const isKnown = othersInFlight !== undefined;
    const { running, waiting } = isKnown
      ? splitInFlight(this.ownInFlight + othersInFlight, maxConcurrent)
      : this.countReported(report);
    return {
      upstreamId: this.upstreamId,
      role: this.role,
      address: vm.address,
      availabilityZone: vm.availabilityZone,
      bootId: toId(report.bootId),
      ...(report.model === undefined ? {} : { model: toId(report.model) }),
      ...(report.weightVersion === undefined ? {} : { weightVersion: toId(report.weightVersion) }),
      eligible: this.decideEligibility(table, ejection.getState(this.upstreamId)).eligible,
      cold: this.isCold(report),
      running,
      waiting,
      waitingPromptTokens: report.waitingPromptTokens,
      prefillTokensPerSecond: report.prefillTokensPerSecond,
      maxConcurrent,
      coldConcurrent: row?.coldConcurrent ?? report.coldConcurrent,
      ageMs: Date.now() - this.takenAtMs,
      dispatchedSince: isKnown ? 0 : this.dispatches.length,
      dispatchedTokensSince: this.dispatches.reduce((sum, one) => sum + one.promptTokens, 0),
    };
  }

  /** Gives an engine's own account of its weights; undefined before the first load report. */
  buildEngineReport(): EngineReport | undefined {
    const { report } = this;
    if (report === undefined || this.vm.role !== 'engine') return undefined;
    const age = Date.now() - this.takenAtMs;
    return {
      upstreamId: this.upstreamId,
      model: report.model === undefined ? undefined : toId<ModelId>(report.model),
      weightVersion:
        report.weightVersion === undefined ? undefined : toId<WeightVersion>(report.weightVersion),
      isLoading: report.state === 'loading',
      takenAt: { wallMs: this.takenAtMs, monotonicMs: performance.now() - age },
    };
  }

  /** Figures from before a run was first heard of may be those of the run before it. */
  private isCold(report: LoadReport): boolean {
    return report.cold || this.takenAtMs < this.bootSeenAtMs;
  }

  /** Takes what has ended since off the reported figures; a waiting request starts in its place. */
  private countReported(report: LoadReport): Pick<UpstreamView, 'running' | 'waiting'> {
    const ended = this.endsAtMs.length;
    const waiting = Math.max(0, report.waiting - ended);
    const left = ended - (report.waiting - waiting);
    return { waiting, running: Math.max(0, report.running - left) };
  }
}
