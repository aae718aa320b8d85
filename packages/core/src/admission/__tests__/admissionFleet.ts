import { vi } from 'vitest';
import { toId } from '../../ids.js';
import type { ClientAccountId, VmId, WorkloadId } from '../../ids.js';
import type { AdmissionPolicy } from '../admissionPolicy.js';
import { AdmissionQueue } from '../admissionQueue.js';
import type { AdmissionPermit, AdmissionRequest } from '../admissionRequest.js';
import { USAGE_REPORT_INTERVAL_MS } from '../constants.js';
import { PeerUsageExchange } from '../peerUsageExchange.js';
import type { PoolId } from '../usageExchange.js';
import { UsageReporter, isFullReportRound } from '../usageReporter.js';

export const POOL = toId<PoolId>('small');

/** Options of a simulated fleet of admission queues that runs on fake timers. */
export interface FleetOptions {
  readonly vmCount: number;
  readonly capacity: number;
  /** Delivery delay of usage reports, in milliseconds; undefined if none is delivered. */
  readonly reportDelayMs?: number | undefined;
  createPolicy(): AdmissionPolicy;
}

/** Admission queues of several VMs that exchange usage reports. */
export class AdmissionFleet {
  readonly queues: readonly AdmissionQueue[];

  running = 0;

  peakRunning = 0;

  private readonly reporters: readonly UsageReporter[];

  private readonly rounds: number[];

  private readonly timers: NodeJS.Timeout[] = [];

  constructor(readonly options: FleetOptions) {
    const { vmCount } = options;
    this.reporters = Array.from({ length: vmCount }, () => new UsageReporter());
    this.rounds = Array.from({ length: vmCount }, () => -1);
    const exchanges = Array.from(
      { length: vmCount },
      (_none, rank) => new PeerUsageExchange(() => ({ vmCount, rank })),
    );
    this.queues = exchanges.map(
      (exchange) =>
        new AdmissionQueue({
          policy: options.createPolicy(),
          usageExchange: exchange,
          countCapacity: () => options.capacity,
        }),
    );
    this.queues.forEach((queue, index) => {
      // Reports of the VMs are not synchronized.
      const phaseMs = (index * 37) % USAGE_REPORT_INTERVAL_MS;
      setTimeout(() => {
        this.timers.push(
          setInterval(() => this.sendReport(queue, index, exchanges), USAGE_REPORT_INTERVAL_MS),
        );
      }, phaseMs);
    });
  }

  /** Admits one request on a VM and holds its permit for the service time. */
  async run(vm: number, request: AdmissionRequest, serviceMs: number): Promise<void> {
    const permit = await this.acquire(vm, request);
    await new Promise((resolve) => {
      setTimeout(resolve, serviceMs);
    });
    this.release(permit);
  }

  async acquire(vm: number, request: AdmissionRequest): Promise<AdmissionPermit> {
    const permit = await this.queues[vm]!.acquire(request, new AbortController().signal);
    this.running += 1;
    this.peakRunning = Math.max(this.peakRunning, this.running);
    return permit;
  }

  release(permit: AdmissionPermit): void {
    this.running -= 1;
    permit.release();
  }

  close(): void {
    this.timers.forEach((timer) => clearInterval(timer));
  }

  private sendReport(
    queue: AdmissionQueue,
    index: number,
    exchanges: readonly PeerUsageExchange[],
  ): void {
    const { reportDelayMs } = this.options;
    const reporter = this.reporters[index]!;
    this.rounds[index]! += 1;
    const report = reporter.buildReport(
      queue.reportUsage(),
      isFullReportRound(this.rounds[index]!),
    );
    exchanges[index]!.pruneReports();
    queue.drain();
    if (reportDelayMs === undefined || !report) return;
    setTimeout(() => {
      exchanges.forEach((exchange, other) => {
        if (other === index) return;
        exchange.receiveReport(toId<VmId>(`vm-${index}`), report);
        this.queues[other]!.drain();
      });
    }, reportDelayMs);
  }
}

const STEP_MS = 5;
const TURNS_PER_STEP = 12;

/** Advances the fake timers in small steps and lets promises settle after each. */
export const advanceFleet = async (durationMs: number): Promise<void> => {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
    vi.advanceTimersByTime(STEP_MS);
    for (let turn = 0; turn < TURNS_PER_STEP; turn += 1) await Promise.resolve();
  }
};

export const makeRequest = (
  account: string,
  rest: Partial<AdmissionRequest> = {},
): AdmissionRequest => ({
  poolId: POOL,
  accountId: toId<ClientAccountId>(account),
  accountWeight: 1,
  workloadId: toId<WorkloadId>(`${account}-work`),
  workloadWeight: 1,
  priority: 5,
  deadlineAtMs: performance.now() + 30_000,
  ...rest,
});
