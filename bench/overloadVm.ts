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
import { AdmissionFilter, DispatchFilter, SlotRunner, UpstreamState } from '@goldcrestscale/entry';
import type { Filter, SlotsController, UpstreamDirectory } from '@goldcrestscale/entry';
import type { FakeEngine } from './overloadEngine.js';
import { FakeEngineRunner } from './overloadRunner.js';

const LOAD_LAG_MS = 200;

/** Policies under comparison. */
export interface FleetPolicies {
  createAdmission(): AdmissionPolicy;
  createRetries(seed: number): RetryPolicy;
  /** Creates the slots of one entry VM; without them it goes by load reports alone. */
  createSlots?(index: number, size: FleetSize): SlotsController;
}

/** Sizes of a simulated fleet. */
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

/** One entry VM: the daemon's admission and dispatch over fake engines. */
export class EntryVm {
  readonly exchange: PeerUsageExchange;

  readonly queue: AdmissionQueue;

  readonly filters: readonly Filter[];

  private readonly reporter = new UsageReporter();

  private readonly states: readonly UpstreamState[];

  private readonly ejection: CappedEjectionPolicy;

  private round = 0;

  constructor(
    private readonly index: number,
    size: FleetSize,
    private readonly engines: readonly FakeEngine[],
    policies: FleetPolicies,
  ) {
    this.ejection = new CappedEjectionPolicy(createRandomGenerator(index + 1));
    this.states = engines.map((_engine, place) => new UpstreamState(createVmRecord(place)));
    this.exchange = new PeerUsageExchange(() => ({ vmCount: size.vmCount, rank: index }));
    const countCapacity = () => this.countCapacity();
    this.queue = new AdmissionQueue({
      policy: policies.createAdmission(),
      usageExchange: this.exchange,
      countCapacity,
    });
    const runner = new FakeEngineRunner((id) => engines[Number(id.split('-')[1])]!);
    const directory = this.createDirectory();
    const slots = policies.createSlots?.(index, size);
    const running = new AbortController();
    setMaxListeners(0, running.signal);
    void slots?.start(running.signal);
    const completions = slots ? new SlotRunner(runner, slots.slots, directory) : runner;
    this.filters = [
      new AdmissionFilter({ queue: this.queue, countCapacity }),
      new DispatchFilter({
        router: new LeastTimeRouter({
          prefixIndex: new PrefixIndex(),
          random: createRandomGenerator(index + 101),
        }),
        retries: policies.createRetries(index + 1),
        directory,
        completions,
        services: runner,
        observer: { onFirstByte() {}, onUsage() {}, onFailure() {} },
      }),
    ];
  }

  /** Reads the engines' load reports, which lag. */
  readLoads(): void {
    this.engines.forEach((engine, place) => {
      const state = this.states[place]!;
      if (engine.isUp) state.updateLoadReport(engine.describeLoad(LOAD_LAG_MS));
      this.ejection.setGroup(state.upstreamId, state.poolId);
    });
  }

  report(send: (vmId: VmId, report: UsageReport) => void) {
    this.exchange.pruneReports();
    const report = this.reporter.buildReport(
      this.queue.reportUsage(),
      isFullReportRound(this.round),
      this.states.map(({ upstreamId, inFlight }) => ({ upstreamId, inFlight })),
    );
    this.round += 1;
    if (report) send(toId<VmId>(`vm-${this.index}`), report);
    this.queue.drain();
  }

  private createDirectory(): UpstreamDirectory {
    const list = () =>
      this.states.map((state) => this.buildView(state)).filter((view) => view !== undefined);
    const find = (upstreamId: UpstreamId) =>
      this.states.find((state) => state.upstreamId === upstreamId);
    return {
      listEngines: list,
      listServices: () => [],
      findView: (upstreamId) => {
        const state = find(upstreamId);
        return state && this.buildView(state);
      },
      noteDispatch: (upstreamId, tokens) => {
        this.ejection.recordStart(upstreamId);
        find(upstreamId)?.noteDispatch(tokens);
      },
      noteEnd: (upstreamId, outcome) => {
        this.ejection.recordOutcome(upstreamId, outcome);
        find(upstreamId)?.noteEnd();
      },
    };
  }

  private buildView(state: UpstreamState) {
    const others = this.exchange.countInFlight(state.upstreamId);
    return state.buildView(table, this.ejection, others);
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
