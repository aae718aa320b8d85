import { USAGE_REPORT_INTERVAL_MS, rowSchema, toId } from '@goldcrestscale/core';
import type {
  ClientAccountRow,
  RequestId,
  UsageReport,
  VmId,
  WeightVersion,
  WorkloadRow,
} from '@goldcrestscale/core';
import { runChain } from '@goldcrestscale/entry';
import type { Exchange } from '@goldcrestscale/entry';
import { SimulatedEngine } from './simulatedEngine.js';
import { SimulatedEntryVm } from './simulatedEntryVm.js';
import type { FleetPolicies, FleetSize } from './simulatedEntryVm.js';

export type { FleetPolicies } from './simulatedEntryVm.js';

const MODEL = 'small';
const LOAD_INTERVAL_MS = 500;
const MESH_DELAY_MS = 2;

/** Prompt bytes that an engine prefills per millisecond. */
const BYTES_PER_MS = 4;

/** One request offered to the fleet. */
export interface OfferedRequest {
  readonly vm: number;
  readonly account: ClientAccountRow;
  readonly workload: WorkloadRow;
  readonly prefillMs: number;
  readonly decodeMs: number;
}

/** Outcome of a request, with its times. */
export interface RequestOutcome {
  readonly account: string;
  readonly arrivedAtMs: number;
  readonly firstTokenMs: number | undefined;
  readonly endedAtMs: number;
  readonly deadlineAtMs: number;
  readonly code: string;
}

const createExchange = (request: OfferedRequest, onHead: () => void): Exchange => {
  let headSent = false;
  return {
    requestId: toId<RequestId>('request'),
    method: 'POST',
    headers: {},
    body: Buffer.alloc(0),
    target: {
      kind: 'completion',
      path: '/v1/completions',
      model: MODEL,
      stream: true,
      prompt: 'x'.repeat(request.prefillMs * BYTES_PER_MS),
      fields: { prefillMs: request.prefillMs, decodeMs: request.decodeMs },
    },
    response: {
      get isHeadSent() {
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
    receivedAtMs: performance.now(),
    readAtMs: performance.now(),
    account: request.account,
    workload: request.workload,
    isIdempotent: true,
    deadlineAtMs: performance.now() + request.workload.deadlineMs,
    weightVersion: toId<WeightVersion>('v1'),
    assertSendable: () => undefined,
    verdict: 'not-run',
  };
};

/** Creates a client account with a single workload. */
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

/** Simulated fleet of entry VMs and engines; expects a fake clock. */
export class SimulatedEntryFleet {
  readonly engines: readonly SimulatedEngine[];

  readonly outcomes: RequestOutcome[] = [];

  private readonly vms: readonly SimulatedEntryVm[];

  constructor(size: FleetSize, policies: FleetPolicies) {
    this.engines = Array.from(
      { length: size.engineCount },
      (_none, index) => new SimulatedEngine(index),
    );
    this.vms = Array.from(
      { length: size.vmCount },
      (_none, index) => new SimulatedEntryVm(index, size, this.engines, policies),
    );
    this.vms.forEach((vm, index) => this.startVm(vm, index));
  }

  /** Runs one request through the filter chain of an entry VM and records its outcome. */
  async run(request: OfferedRequest): Promise<void> {
    const arrivedAtMs = performance.now();
    let firstTokenMs: number | undefined;
    const exchange = createExchange(request, () => {
      firstTokenMs = performance.now() - arrivedAtMs;
    });
    const code = await runChain(this.vms[request.vm]!.filters, exchange).then(
      () => 'ok',
      (cause: unknown) =>
        cause instanceof Error && 'code' in cause ? String(cause.code) : 'error',
    );
    this.outcomes.push({
      account: request.account.id,
      arrivedAtMs,
      firstTokenMs,
      endedAtMs: performance.now(),
      deadlineAtMs: exchange.deadlineAtMs ?? Infinity,
      code,
    });
  }

  private startVm(vm: SimulatedEntryVm, index: number): void {
    vm.refreshLoadReports();
    setTimeout(
      () => setInterval(() => vm.refreshLoadReports(), LOAD_INTERVAL_MS),
      (index * 53) % 500,
    );
    setTimeout(
      () => {
        setInterval(() => {
          vm.sendUsageReport((vmId, report) => {
            setTimeout(() => this.deliverReport(vmId, vm, report), MESH_DELAY_MS);
          });
        }, USAGE_REPORT_INTERVAL_MS);
      },
      (index * 37) % USAGE_REPORT_INTERVAL_MS,
    );
  }

  private deliverReport(vmId: VmId, from: SimulatedEntryVm, report: UsageReport) {
    this.vms
      .filter((vm) => vm !== from)
      .forEach((vm) => {
        vm.exchange.receiveReport(vmId, report);
        vm.queue.drain();
      });
  }
}
