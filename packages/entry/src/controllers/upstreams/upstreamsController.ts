import { request } from 'undici';
import type {
  EjectionPolicy,
  UpstreamId,
  UpstreamUsage,
  UpstreamView,
  VmRecord,
  EngineReport,
} from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import {
  CONTROL_CALL_TIMEOUT_MS,
  LOAD_POLL_INTERVAL_MS,
  LOAD_REPORT_LIMITS,
} from '../../constants.js';
import { readControlJson } from '../../upstream/readControlJson.js';
import { KeyedPoller } from '../../keyedPoller.js';
import { repeatAtInterval } from '../../repeat.js';
import { Controller } from '../controller.js';
import type { AttemptOutcome } from '../../dispatch/attemptOutcome.js';
import { loadReportSchema } from './loadReport.js';
import { UpstreamState } from './upstreamState.js';
import type { UpstreamTable } from './upstreamState.js';

/** Options of the upstreams controller. */
export interface UpstreamsOptions {
  readonly table: () => UpstreamTable;
  readonly listVms: () => readonly VmRecord[];
  readonly logger: Logger;
  readonly ejection: EjectionPolicy;
}

/** In-flight requests of the other entry VMs. */
export interface PeerInFlightSource {
  /** @returns undefined unless the count of every other VM is known */
  countInFlight(upstreamId: UpstreamId): number | undefined;
}

/** Polls the load reports of the engines and plain services on the VM list. */
export class UpstreamsController extends Controller {
  override readonly name = 'upstreams';

  private readonly states = new Map<UpstreamId, UpstreamState>();

  private readonly pollSet = new KeyedPoller<UpstreamState>();

  private peerInFlight: PeerInFlightSource | undefined;

  constructor(private readonly options: UpstreamsOptions) {
    super();
  }

  override async start(signal: AbortSignal): Promise<void> {
    const firstRefresh = this.refresh(signal);
    repeatAtInterval(() => this.refresh(signal), LOAD_POLL_INTERVAL_MS, signal);
    await firstRefresh;
    this.updateEjectionGroups();
  }

  /** Lists the engines that have a model loaded. */
  listEngines(model: string): readonly UpstreamView[] {
    return this.listViews('engine').filter((view) => view.model === model);
  }

  /** Lists the upstreams of a plain service. */
  listServices(service: string): readonly UpstreamView[] {
    const upstreamIds = [...this.states.values()]
      .filter((state) => state.record.service === service)
      .map((state) => state.upstreamId);
    return this.listViews('service').filter((view) => upstreamIds.includes(view.upstreamId));
  }

  /** Sums the concurrency limits of the eligible upstreams of a pool. */
  countCapacity(poolId: string): number {
    const { ejection } = this.options;
    const table = this.options.table();
    let capacity = 0;
    this.states.forEach((state) => {
      if (state.poolId !== poolId) return;
      const view = state.buildView(table, ejection);
      if (view?.eligible) capacity += view.cold ? view.coldConcurrent : view.maxConcurrent;
    });
    return capacity;
  }

  /**
   * Sets the source of the other VMs' in-flight counts, preferred over the delayed load reports.
   */
  setPeerInFlightSource(source: PeerInFlightSource): void {
    this.peerInFlight = source;
  }

  /** Lists the upstreams to which this VM has requests in flight. */
  listInFlight(): readonly UpstreamUsage[] {
    return [...this.states.values()]
      .map(({ upstreamId, inFlight }) => ({ upstreamId, inFlight }))
      .filter(({ inFlight }) => inFlight > 0);
  }

  /** Lists the weight versions that the engines report to have loaded. */
  listEngineReports(): readonly EngineReport[] {
    return [...this.states.values()]
      .map((state) => state.buildEngineReport())
      .filter((report) => report !== undefined);
  }

  findAddress(upstreamId: UpstreamId): string | undefined {
    return this.states.get(upstreamId)?.address;
  }

  /** Returns the current view of an upstream. */
  findView(upstreamId: UpstreamId): UpstreamView | undefined {
    const state = this.states.get(upstreamId);
    return state && this.buildView(state, this.options.table());
  }

  /** Records a request that this VM sends to an upstream. */
  recordDispatch(upstreamId: UpstreamId, promptTokens: number): void {
    this.options.ejection.recordStart(upstreamId);
    this.states.get(upstreamId)?.recordDispatch(promptTokens);
  }

  /** Records the outcome of an attempt at an upstream. */
  recordOutcome(upstreamId: UpstreamId, outcome: AttemptOutcome): void {
    this.options.ejection.recordOutcome(upstreamId, outcome);
    this.states.get(upstreamId)?.recordCompletion();
  }

  override dump(): unknown {
    const { ejection } = this.options;
    const table = this.options.table();
    return [...this.states.values()].map((state) => ({
      ...(this.buildView(state, table) ?? state.record),
      eligibility: state.decideEligibility(table, ejection.getState(state.upstreamId)),
    }));
  }

  private buildView(state: UpstreamState, table: UpstreamTable): UpstreamView | undefined {
    const peerInFlight = this.peerInFlight?.countInFlight(state.upstreamId);
    return state.buildView(table, this.options.ejection, peerInFlight);
  }

  private listViews(role: UpstreamView['role']): readonly UpstreamView[] {
    const table = this.options.table();
    return [...this.states.values()]
      .filter((state) => state.record.role === role)
      .map((state) => this.buildView(state, table))
      .filter((view) => view !== undefined);
  }

  private async refresh(signal: AbortSignal): Promise<void> {
    this.updateVmRecords();
    this.updateEjectionGroups();
    const refreshes = [...this.states.values()].map((state) =>
      this.pollSet.run(state, () => this.refreshLoadReport(state, signal)),
    );
    await Promise.all(refreshes);
  }

  /** Restricts ejection groups to upstreams that would be eligible with a closed breaker. */
  private updateEjectionGroups(): void {
    const { ejection } = this.options;
    const table = this.options.table();
    this.states.forEach((state, upstreamId) => {
      if (state.decideEligibility(table, 'closed').eligible)
        ejection.setGroup(upstreamId, state.poolId);
      else ejection.remove(upstreamId);
    });
  }

  private updateVmRecords(): void {
    const vms = this.options
      .listVms()
      .filter((vm) => vm.role === 'engine' || vm.role === 'service');
    const listedIds = new Set<string>(vms.map((vm) => vm.vmId));
    for (const vm of vms) {
      const existing = this.states.get(vm.vmId as string as UpstreamId);
      if (existing) existing.updateVm(vm);
      else this.states.set(vm.vmId as string as UpstreamId, new UpstreamState(vm));
    }
    const removedIds = [...this.states.keys()].filter((upstreamId) => !listedIds.has(upstreamId));
    removedIds.forEach((upstreamId) => {
      this.states.delete(upstreamId);
      this.options.ejection.remove(upstreamId);
    });
  }

  private async refreshLoadReport(state: UpstreamState, signal: AbortSignal): Promise<void> {
    try {
      const response = await request(`http://${state.address}/load`, {
        headersTimeout: CONTROL_CALL_TIMEOUT_MS,
        bodyTimeout: CONTROL_CALL_TIMEOUT_MS,
        signal,
      });
      state.updateLoadReport(
        loadReportSchema.parse(await readControlJson(response.body, LOAD_REPORT_LIMITS)),
      );
    } catch (cause) {
      this.options.logger.debug('load report request failed', {
        upstreamId: state.upstreamId,
        error: String(cause),
      });
    }
  }
}
