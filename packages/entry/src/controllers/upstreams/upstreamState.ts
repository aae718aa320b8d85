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

/** Part of the configuration table that determines eligibility. */
export type UpstreamTable = Pick<ConfigTable, 'getUpstream' | 'isZoneOut'>;

interface DispatchRecord {
  readonly sentAtMs: number;
  readonly promptTokens: number;
}

const splitInFlight = (inFlight: number, capacity: number) => ({
  running: Math.min(inFlight, capacity),
  waiting: Math.max(0, inFlight - capacity),
});

/** State of one upstream as known to this VM. */
export class UpstreamState {
  private report: LoadReport | undefined;

  /** Wall-clock time at which the upstream sampled the figures of the report. */
  private sampledAtMs = 0;

  private reportReceivedAtMs = 0;

  /** Wall-clock time at which the current boot id was first reported. */
  private bootFirstSeenAtMs = 0;

  private dispatches: DispatchRecord[] = [];

  /** Attempts of this VM in progress. */
  private localInFlight = 0;

  /** End times of attempts of this VM that the load report does not cover yet. */
  private attemptEndTimesMs: number[] = [];

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

  updateLoadReport(report: LoadReport): void {
    this.reportReceivedAtMs = Date.now();
    if (this.report?.bootId !== report.bootId) this.bootFirstSeenAtMs = this.reportReceivedAtMs;
    this.report = report;
    this.sampledAtMs = this.reportReceivedAtMs - report.ageMs;
    this.dispatches = this.dispatches.filter((dispatch) => dispatch.sentAtMs > this.sampledAtMs);
    this.attemptEndTimesMs = this.attemptEndTimesMs.filter(
      (endedAtMs) => endedAtMs > this.sampledAtMs,
    );
  }

  /** Records a request that this VM sends; dropped once a load report covers it. */
  recordDispatch(promptTokens: number): void {
    this.localInFlight += 1;
    this.dispatches.push({ sentAtMs: Date.now(), promptTokens });
  }

  /** Records that an attempt of this VM has ended. */
  recordCompletion(): void {
    this.localInFlight -= 1;
    this.attemptEndTimesMs.push(Date.now());
  }

  get inFlight(): number {
    return this.localInFlight;
  }

  /** Pool of interchangeable upstreams to which this one belongs. */
  get poolId(): string {
    return `${this.vm.role}/${this.report?.model ?? this.vm.service ?? ''}`;
  }

  /**
   * Decides whether the upstream may receive new requests, apart from limits of a single request.
   */
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
      ageMs: Date.now() - this.reportReceivedAtMs,
    });
  }

  /** Builds the view used for routing; undefined before the first load report. */
  buildView(
    table: UpstreamTable,
    ejection: Pick<EjectionPolicy, 'getState'>,
    peerInFlight?: number,
  ): UpstreamView | undefined {
    const { report, vm } = this;
    if (report === undefined) return undefined;
    const row = table.getUpstream(this.upstreamId);
    const maxConcurrent = row?.maxConcurrent ?? report.maxConcurrent;
    const isPeerInFlightKnown = peerInFlight !== undefined;
    const { running, waiting } = isPeerInFlightKnown
      ? splitInFlight(this.localInFlight + peerInFlight, maxConcurrent)
      : this.computeCurrentCounts(report);
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
      ageMs: Date.now() - this.sampledAtMs,
      dispatchedSince: isPeerInFlightKnown ? 0 : this.dispatches.length,
      dispatchedTokensSince: this.dispatches.reduce(
        (sum, dispatch) => sum + dispatch.promptTokens,
        0,
      ),
    };
  }

  /** Builds the report of an engine's weights; undefined before the first load report. */
  buildEngineReport(): EngineReport | undefined {
    const { report } = this;
    if (report === undefined || this.vm.role !== 'engine') return undefined;
    const ageMs = Date.now() - this.sampledAtMs;
    return {
      upstreamId: this.upstreamId,
      model: report.model === undefined ? undefined : toId<ModelId>(report.model),
      weightVersion:
        report.weightVersion === undefined ? undefined : toId<WeightVersion>(report.weightVersion),
      isLoading: report.state === 'loading',
      takenAt: { wallMs: this.sampledAtMs, monotonicMs: performance.now() - ageMs },
    };
  }

  /**
   * Figures sampled before the current boot id was first seen may belong to the previous process.
   */
  private isCold(report: LoadReport): boolean {
    return report.cold || this.sampledAtMs < this.bootFirstSeenAtMs;
  }

  /** Subtracts the attempts that ended since the report; each one lets a waiting request start. */
  private computeCurrentCounts(report: LoadReport): Pick<UpstreamView, 'running' | 'waiting'> {
    const endedCount = this.attemptEndTimesMs.length;
    const waiting = Math.max(0, report.waiting - endedCount);
    const endedWhileRunning = endedCount - (report.waiting - waiting);
    return { waiting, running: Math.max(0, report.running - endedWhileRunning) };
  }
}
