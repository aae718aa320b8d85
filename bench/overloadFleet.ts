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
import { FakeEngine } from './overloadEngine.js';
import { EntryVm } from './overloadVm.js';
import type { FleetPolicies, FleetSize } from './overloadVm.js';

export type { FleetPolicies } from './overloadVm.js';

const MODEL = 'small';
const LOAD_INTERVAL_MS = 500;
const MESH_DELAY_MS = 2;

/** Bytes of prompt that an engine computes in a millisecond. */
const BYTES_PER_MS = 4;

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

const createExchange = (offer: Offer, onHead: () => void): Exchange => {
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
  async run(offer: Offer): Promise<void> {
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
        }, USAGE_REPORT_INTERVAL_MS);
      },
      (index * 37) % USAGE_REPORT_INTERVAL_MS,
    );
  }

  private sendReport(vmId: VmId, from: EntryVm, report: UsageReport) {
    this.vms
      .filter((vm) => vm !== from)
      .forEach((vm) => {
        vm.exchange.receiveReport(vmId, report);
        vm.queue.drain();
      });
  }
}
