import type { IncomingHttpHeaders } from 'node:http';
import {
  AdmissionQueue,
  CappedEjection,
  LeastTimeRouter,
  PeerUsageExchange,
  PrefixIndex,
  USAGE_INTERVAL_MS,
  UsageReporter,
  createGenerator,
  isWholeRound,
  rowSchema,
  toId,
} from '@goldcrestscale/core';
import type {
  AdmissionPolicy,
  ClientAccountRow,
  RequestId,
  RetryPolicy,
  UpstreamId,
  VmId,
  VmRecord,
  WeightVersion,
  WorkloadRow,
} from '@goldcrestscale/core';
import { UpstreamState } from '../packages/entry/src/controllers/upstreams/upstreamState.js';
import type { UpstreamDirectory } from '../packages/entry/src/dispatch/upstreamDirectory.js';
import { AdmissionFilter } from '../packages/entry/src/filters/admissionFilter.js';
import { runChain } from '../packages/entry/src/filters/chain.js';
import { DispatchFilter } from '../packages/entry/src/filters/dispatchFilter.js';
import type { Exchange } from '../packages/entry/src/filters/exchange.js';
import type { Filter } from '../packages/entry/src/filters/filter.js';
import { FakeEngine, FakeEngineRunner } from './overloadEngine.js';

const MODEL = 'small';
const LOAD_INTERVAL_MS = 500;
const LOAD_LAG_MS = 200;
const MESH_DELAY_MS = 2;

/** Bytes of prompt that an engine computes in a millisecond. */
const BYTES_PER_MS = 4;

/** Policies under comparison. */
export interface FleetPolicies {
  createAdmission(): AdmissionPolicy;
  createRetries(seed: number): RetryPolicy;
}

/** Sizes of a simulated fleet. */
export interface FleetSize {
  readonly vmCount: number;
  readonly engineCount: number;
}

/** One request offered to the fleet. */
export interface Offer {
  readonly vm: number;
  readonly account: ClientAccountRow;
  readonly workload: WorkloadRow;
  readonly prefillMs: number;
  readonly decodeMs: number;
}

/** How a request ended. */
export interface Outcome {
  readonly account: string;
  readonly arrivedAtMs: number;
  readonly firstTokenMs: number | undefined;
  readonly endedAtMs: number;
  readonly deadlineAtMs: number;
  readonly code: string;
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
class EntryVm {
  readonly exchange: PeerUsageExchange;

  readonly queue: AdmissionQueue;

  readonly filters: readonly Filter[];

  private readonly reporter = new UsageReporter();

  private readonly states: readonly UpstreamState[];

  private readonly ejection: CappedEjection;

  private round = 0;

  constructor(
    private readonly index: number,
    size: FleetSize,
    private readonly engines: readonly FakeEngine[],
    policies: FleetPolicies,
  ) {
    this.ejection = new CappedEjection(createGenerator(index + 1));
    this.states = engines.map((_engine, place) => new UpstreamState(createVmRecord(place)));
    this.exchange = new PeerUsageExchange(() => ({ vmCount: size.vmCount, rank: index }));
    const countCapacity = () => this.countCapacity();
    this.queue = new AdmissionQueue({
      policy: policies.createAdmission(),
      exchange: this.exchange,
      countCapacity,
    });
    const runner = new FakeEngineRunner((id) => engines[Number(id.split('-')[1])]!);
    this.filters = [
      new AdmissionFilter({ queue: this.queue, countCapacity }),
      new DispatchFilter({
        router: new LeastTimeRouter({
          index: new PrefixIndex(),
          random: createGenerator(index + 101),
        }),
        retries: policies.createRetries(index + 1),
        directory: this.createDirectory(),
        completions: runner,
        services: runner,
        observer: { onFirstByte() {}, onUsage() {}, onFailure() {} },
      }),
    ];
  }

  /** Reads the engines' load reports, which lag. */
  readLoads(): void {
    this.engines.forEach((engine, place) => {
      const state = this.states[place]!;
      if (engine.isUp) state.updateLoad(engine.describeLoad(LOAD_LAG_MS));
      this.ejection.setGroup(state.upstreamId, state.group);
    });
  }

  report(send: (vmId: VmId, report: NonNullable<ReturnType<UsageReporter['build']>>) => void) {
    this.exchange.prune();
    const report = this.reporter.build(this.queue.publishUsage(), isWholeRound(this.round));
    this.round += 1;
    if (report) send(toId<VmId>(`vm-${this.index}`), report);
    this.queue.drain();
  }

  private createDirectory(): UpstreamDirectory {
    const list = () =>
      this.states
        .map((state) => state.buildView(table, this.ejection))
        .filter((view) => view !== undefined);
    const find = (upstreamId: UpstreamId) =>
      this.states.find((state) => state.upstreamId === upstreamId);
    return {
      listEngines: list,
      listServices: () => [],
      findView: (upstreamId) => find(upstreamId)?.buildView(table, this.ejection),
      noteDispatch: (upstreamId, tokens) => {
        this.ejection.noteStart(upstreamId);
        find(upstreamId)?.noteDispatch(tokens);
      },
      noteEnd: (upstreamId, outcome) => {
        this.ejection.noteEnd(upstreamId, outcome);
        find(upstreamId)?.noteEnd();
      },
    };
  }

  private countCapacity(): number {
    return this.states
      .map((state) => state.buildView(table, this.ejection))
      .reduce((sum, view) => {
        if (!view?.eligible) return sum;
        return sum + (view.cold ? view.coldConcurrent : view.maxConcurrent);
      }, 0);
  }
}

/** Entry VMs and fake engines on a paused clock. */
export class OverloadFleet {
  readonly engines: readonly FakeEngine[];

  readonly outcomes: Outcome[] = [];

  private readonly vms: readonly EntryVm[];

  constructor(size: FleetSize, policies: FleetPolicies) {
    this.engines = Array.from(
      { length: size.engineCount },
      (_none, index) => new FakeEngine(index),
    );
    this.vms = Array.from(
      { length: size.vmCount },
      (_none, index) => new EntryVm(index, size, this.engines, policies),
    );
    this.vms.forEach((vm, index) => this.startVm(vm, index));
  }

  /** Runs one request through the filters of an entry VM. */
  async offer(offer: Offer): Promise<void> {
    const arrivedAtMs = Date.now();
    let firstTokenMs: number | undefined;
    const exchange = createExchange(offer, () => {
      firstTokenMs = Date.now() - arrivedAtMs;
    });
    const code = await runChain(this.vms[offer.vm]!.filters, exchange).then(
      () => 'ok',
      (cause: unknown) =>
        cause instanceof Error && 'code' in cause ? String(cause.code) : 'error',
    );
    this.outcomes.push({
      account: offer.account.id,
      arrivedAtMs,
      firstTokenMs,
      endedAtMs: Date.now(),
      deadlineAtMs: exchange.deadlineAtMs ?? Infinity,
      code,
    });
  }

  private startVm(vm: EntryVm, index: number): void {
    vm.readLoads();
    setTimeout(() => setInterval(() => vm.readLoads(), LOAD_INTERVAL_MS), (index * 53) % 500);
    setTimeout(
      () => {
        setInterval(() => {
          vm.report((vmId, report) => {
            setTimeout(() => this.sendReport(vmId, vm, report), MESH_DELAY_MS);
          });
        }, USAGE_INTERVAL_MS);
      },
      (index * 37) % USAGE_INTERVAL_MS,
    );
  }

  private sendReport(
    vmId: VmId,
    from: EntryVm,
    report: Parameters<PeerUsageExchange['receive']>[1],
  ) {
    this.vms
      .filter((vm) => vm !== from)
      .forEach((vm) => {
        vm.exchange.receive(vmId, report);
        vm.queue.drain();
      });
  }
}

/** Creates a client account and its only workload. */
export const createAccount = (id: string, weight: number, deadlineMs: number) => {
  const account = rowSchema.parse({ kind: 'account', id, weight, keyHashes: [] });
  const workload = rowSchema.parse({
    kind: 'workload',
    id: `${id}-work`,
    accountId: id,
    model: MODEL,
    deadlineMs,
  });
  return { account: account as ClientAccountRow, workload: workload as WorkloadRow };
};

const createExchange = (offer: Offer, onHead: () => void): Exchange => {
  let headSent = false;
  return {
    requestId: toId<RequestId>('request'),
    method: 'POST',
    headers: {} as IncomingHttpHeaders,
    body: Buffer.alloc(0),
    target: {
      kind: 'completion',
      path: '/v1/completions',
      model: MODEL,
      stream: true,
      prompt: 'x'.repeat(offer.prefillMs * BYTES_PER_MS),
      fields: { prefillMs: offer.prefillMs, decodeMs: offer.decodeMs },
    },
    answer: {
      get headSent() {
        return headSent;
      },
      writeHead() {
        headSent = true;
        onHead();
      },
      write: () => Promise.resolve(),
      finish: () => undefined,
    },
    signal: new AbortController().signal,
    receivedAtMs: Date.now(),
    account: offer.account,
    workload: offer.workload,
    idempotent: true,
    deadlineAtMs: Date.now() + offer.workload.deadlineMs,
    weightVersion: toId<WeightVersion>('v1'),
    assertSendable: () => undefined,
    verdict: 'not-run',
  };
};
