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
import { CONTROL_TIMEOUT_MS, LOAD_INTERVAL_MS } from '../../constants.js';
import { PollSet } from '../../pollSet.js';
import { repeatWhileRunning } from '../../repeat.js';
import { Controller } from '../controller.js';
import type { AttemptOutcome } from '../../dispatch/attemptOutcome.js';
import { loadReportSchema } from './loadReport.js';
import { UpstreamState } from './upstreamState.js';
import type { UpstreamTable } from './upstreamState.js';

/** What the upstreams controller reads. */
export interface UpstreamsOptions {
  readonly table: () => UpstreamTable;
  readonly listVms: () => readonly VmRecord[];
  readonly logger: Logger;
  readonly ejection: EjectionPolicy;
}

/** What the other entry VMs have in flight. */
export interface FleetLoad {
  /** @returns undefined where it is not known of every VM */
  countInFlight(upstreamId: UpstreamId): number | undefined;
}

/** Follows the load reports of the engines and plain services on the VM list. */
export class UpstreamsController extends Controller {
  override readonly name = 'upstreams';

  private readonly states = new Map<UpstreamId, UpstreamState>();

  private readonly polls = new PollSet<UpstreamState>();

  private fleetLoad: FleetLoad | undefined;

  constructor(private readonly options: UpstreamsOptions) {
    super();
  }

  override async start(signal: AbortSignal): Promise<void> {
    const first = this.refresh(signal);
    repeatWhileRunning(() => this.refresh(signal), LOAD_INTERVAL_MS, signal);
    await first;
    this.updateGroups();
  }

  /** Gives the engines that hold a model. */
  listEngines(model: string): readonly UpstreamView[] {
    return this.listViews('engine').filter((view) => view.model === model);
  }

  /** Gives the upstreams of a plain service. */
  listServices(service: string): readonly UpstreamView[] {
    const names = [...this.states.values()]
      .filter((state) => state.record.service === service)
      .map((state) => state.upstreamId);
    return this.listViews('service').filter((view) => names.includes(view.upstreamId));
  }

  /** Counts the requests that the eligible upstreams of a pool bear at once. */
  countCapacity(poolId: string): number {
    const { ejection } = this.options;
    const table = this.options.table();
    let capacity = 0;
    this.states.forEach((state) => {
      if (state.group !== poolId) return;
      const view = state.buildView(table, ejection);
      if (view?.eligible) capacity += view.cold ? view.coldConcurrent : view.maxConcurrent;
    });
    return capacity;
  }

  /** Prefers the other VMs' own counts to the lagged load reports. */
  setFleetLoad(fleetLoad: FleetLoad): void {
    this.fleetLoad = fleetLoad;
  }

  /** Lists the upstreams with requests of this VM in flight. */
  listInFlight(): readonly UpstreamUsage[] {
    return [...this.states.values()]
      .map(({ upstreamId, inFlight }) => ({ upstreamId, inFlight }))
      .filter(({ inFlight }) => inFlight > 0);
  }

  /** Lists the engines' own accounts of their weights. */
  listEngineReports(): readonly EngineReport[] {
    return [...this.states.values()]
      .map((state) => state.buildEngineReport())
      .filter((report) => report !== undefined);
  }

  /** Gives the address of an upstream. */
  findAddress(upstreamId: UpstreamId): string | undefined {
    return this.states.get(upstreamId)?.address;
  }

  /** Gives one upstream as it is known now. */
  findView(upstreamId: UpstreamId): UpstreamView | undefined {
    const state = this.states.get(upstreamId);
    return state && this.buildView(state, this.options.table());
  }

  /** Notes a request that this VM sends to an upstream. */
  noteDispatch(upstreamId: UpstreamId, promptTokens: number): void {
    this.options.ejection.noteStart(upstreamId);
    this.states.get(upstreamId)?.noteDispatch(promptTokens);
  }

  /** Notes how an attempt at an upstream ended. */
  noteEnd(upstreamId: UpstreamId, outcome: AttemptOutcome): void {
    this.options.ejection.noteEnd(upstreamId, outcome);
    this.states.get(upstreamId)?.noteEnd();
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
    const others = this.fleetLoad?.countInFlight(state.upstreamId);
    return state.buildView(table, this.options.ejection, others);
  }

  private listViews(role: UpstreamView['role']): readonly UpstreamView[] {
    const table = this.options.table();
    return [...this.states.values()]
      .filter((state) => state.record.role === role)
      .map((state) => this.buildView(state, table))
      .filter((view) => view !== undefined);
  }

  private async refresh(signal: AbortSignal): Promise<void> {
    this.updateVms();
    this.updateGroups();
    const reads = [...this.states.values()].map((state) =>
      this.polls.run(state, () => this.refreshLoad(state, signal)),
    );
    await Promise.all(reads);
  }

  /** Counts as members of a group only the upstreams that nothing but their breaker keeps from work. */
  private updateGroups(): void {
    const { ejection } = this.options;
    const table = this.options.table();
    this.states.forEach((state, upstreamId) => {
      if (state.decideEligibility(table, 'closed').eligible)
        ejection.setGroup(upstreamId, state.group);
      else ejection.remove(upstreamId);
    });
  }

  private updateVms(): void {
    const vms = this.options
      .listVms()
      .filter((vm) => vm.role === 'engine' || vm.role === 'service');
    const listed = new Set<string>(vms.map((vm) => vm.vmId));
    for (const vm of vms) {
      const known = this.states.get(vm.vmId as string as UpstreamId);
      if (known) known.updateVm(vm);
      else this.states.set(vm.vmId as string as UpstreamId, new UpstreamState(vm));
    }
    const gone = [...this.states.keys()].filter((upstreamId) => !listed.has(upstreamId));
    gone.forEach((upstreamId) => {
      this.states.delete(upstreamId);
      this.options.ejection.remove(upstreamId);
    });
  }

  private async refreshLoad(state: UpstreamState, signal: AbortSignal): Promise<void> {
    try {
      const response = await request(`http://${state.address}/load`, {
        headersTimeout: CONTROL_TIMEOUT_MS,
        bodyTimeout: CONTROL_TIMEOUT_MS,
        signal,
      });
      state.updateLoad(loadReportSchema.parse(await response.body.json()));
    } catch (cause) {
      this.options.logger.debug('load report failed', {
        upstreamId: state.upstreamId,
        error: String(cause),
      });
    }
  }
}
