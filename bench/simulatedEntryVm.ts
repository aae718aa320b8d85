import { setMaxListeners } from 'node:events';
import {
  AdmissionQueue,
  CappedEjectionPolicy,
  LeastTimeRouter,
  PeerUsageExchange,
  PrefixIndex,
  UsageReporter,
  createRandomGenerator,
  isFullReportRound,
  toId,
} from '@goldcrestscale/core';
import type {
  AdmissionPolicy,
  RetryPolicy,
  UpstreamId,
  UsageReport,
  VmId,
  VmRecord,
} from '@goldcrestscale/core';
import { ByteBudget, EventLoopBarrier } from '@goldcrestscale/runtime';
import { AdmissionFilter, DispatchFilter, SlotRunner, UpstreamState } from '@goldcrestscale/entry';
import type { Filter, SlotsController, UpstreamDirectory } from '@goldcrestscale/entry';
import type { SimulatedEngine } from './simulatedEngine.js';
import { SimulatedEngineRunner } from './simulatedEngineRunner.js';

const LOAD_REPORT_LAG_MS = 200;

/** Policies under comparison. */
export interface FleetPolicies {
  createAdmission(): AdmissionPolicy;
  createRetries(seed: number): RetryPolicy;
  /** Creates the slots controller of one entry VM; absent: dispatch relies on load reports alone. */
  createSlots?(index: number, size: FleetSize): SlotsController;
}

/** Numbers of VMs in a simulated fleet. */
export interface FleetSize {
  readonly vmCount: number;
  readonly engineCount: number;
}

const table = {
  getUpstream: () => undefined,
  isZoneOut: () => false,
};

const createVmRecord = (index: number): VmRecord => ({
  vmId: toId<VmId>(`engine-${index}`),
  role: 'engine',
  address: '',
  availabilityZone: toId(`zone-${index % 3}`),
  state: 'live',
});

/** Simulated entry VM: the daemon's real admission and dispatch, with simulated engines. */
export class SimulatedEntryVm {
  readonly exchange: PeerUsageExchange;

  readonly queue: AdmissionQueue;

  readonly filters: readonly Filter[];

  private readonly usageReporter = new UsageReporter();

  private readonly states: readonly UpstreamState[];

  private readonly ejection: CappedEjectionPolicy;

  private reportRound = 0;

  constructor(
    private readonly index: number,
    size: FleetSize,
    private readonly engines: readonly SimulatedEngine[],
    policies: FleetPolicies,
  ) {
    this.ejection = new CappedEjectionPolicy(createRandomGenerator(index + 1));
    this.states = engines.map(
      (_engine, engineIndex) => new UpstreamState(createVmRecord(engineIndex)),
    );
    this.exchange = new PeerUsageExchange(() => ({ vmCount: size.vmCount, rank: index }));
    const countCapacity = () => this.countCapacity();
    this.queue = new AdmissionQueue({
      policy: policies.createAdmission(),
      usageExchange: this.exchange,
      countCapacity,
    });
    const runner = new SimulatedEngineRunner((id) => engines[Number(id.split('-')[1])]!);
    const directory = this.createDirectory();
    const slots = policies.createSlots?.(index, size);
    const lifetime = new AbortController();
    setMaxListeners(0, lifetime.signal);
    void slots?.start(lifetime.signal);
    const completions = slots ? new SlotRunner(runner, slots.slots) : runner;
    this.filters = [
      new AdmissionFilter({ queue: this.queue, countCapacity }),
      new DispatchFilter({
        router: new LeastTimeRouter({
          prefixIndex: new PrefixIndex(),
          random: createRandomGenerator(index + 101),
        }),
        retryPolicy: policies.createRetries(index + 1),
        inputBarrier: new EventLoopBarrier(),
        budget: new ByteBudget(Infinity),
        directory,
        completionRunner: completions,
        serviceRunner: runner,
        observer: { onFirstByte() {}, onUsage() {}, onFailure() {} },
      }),
    ];
  }

  /** Reads the engines' load reports, which are stale by a fixed lag. */
  refreshLoadReports(): void {
    this.engines.forEach((engine, engineIndex) => {
      const state = this.states[engineIndex]!;
      if (engine.isUp) state.updateLoadReport(engine.buildLoadReport(LOAD_REPORT_LAG_MS));
      this.ejection.setGroup(state.upstreamId, state.poolId);
    });
  }

  sendUsageReport(send: (vmId: VmId, report: UsageReport) => void) {
    this.exchange.pruneReports();
    const report = this.usageReporter.buildReport(
      this.queue.reportUsage(),
      isFullReportRound(this.reportRound),
      this.states.map(({ upstreamId, inFlight }) => ({ upstreamId, inFlight })),
    );
    this.reportRound += 1;
    if (report) send(toId<VmId>(`vm-${this.index}`), report);
    this.queue.drain();
  }

  private createDirectory(): UpstreamDirectory {
    const listViews = () =>
      this.states.map((state) => this.buildView(state)).filter((view) => view !== undefined);
    const findState = (upstreamId: UpstreamId) =>
      this.states.find((state) => state.upstreamId === upstreamId);
    return {
      listEngines: listViews,
      listServices: () => [],
      findView: (upstreamId) => {
        const state = findState(upstreamId);
        return state && this.buildView(state);
      },
      recordDispatch: (upstreamId, tokens) => {
        this.ejection.recordStart(upstreamId);
        findState(upstreamId)?.recordDispatch(tokens);
      },
      recordOutcome: (upstreamId, outcome) => {
        this.ejection.recordOutcome(upstreamId, outcome);
        findState(upstreamId)?.recordCompletion();
      },
    };
  }

  private buildView(state: UpstreamState) {
    const peerInFlight = this.exchange.countInFlight(state.upstreamId);
    return state.buildView(table, this.ejection, peerInFlight);
  }

  private countCapacity(): number {
    return this.states
      .map((state) => this.buildView(state))
      .reduce((sum, view) => {
        if (!view?.eligible) return sum;
        return sum + (view.cold ? view.coldConcurrent : view.maxConcurrent);
      }, 0);
  }
}
