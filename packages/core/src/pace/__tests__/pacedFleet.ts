import { vi } from 'vitest';
import { makeUpstream } from '../../fleet/__tests__/fixtures.js';
import { PeerLoads, ServiceSpeed, TrackedUpstream } from '../../fleet/index.js';
import { toId } from '../../ids.js';
import type { VmId } from '../../ids.js';
import { computeRendezvousRank } from '../../membership/rendezvous.js';
import { UpstreamPaces } from '../index.js';
import type { PaceSenders } from '../index.js';

const STEP_MS = 10;
const REPORT_MS = 200;
const RUN_MS = 200;

/** Requests that an upstream runs without delay; more of them slow all of them. */
const CAPACITY = 20;

/** A VM's rule for upstreams that have just started. */
export interface StartRule {
  observe(upstreams: readonly TrackedUpstream[]): void;
  canTake(upstream: TrackedUpstream): boolean;
  recordAnswer?(upstream: TrackedUpstream): void;
}

export type CreateStartRule = (findSenders: (upstreamId: string) => PaceSenders) => StartRule;

/** The rule of the product. */
export const createPaces: CreateStartRule = (findSenders) => {
  const paces = new UpstreamPaces({ findSenders });
  return {
    observe: (upstreams) => paces.observe(upstreams, ({ isDown }) => isDown),
    canTake: (upstream) => paces.canTake(upstream),
    recordAnswer: (upstream) => paces.find(upstream)?.recordAnswer(),
  };
};

/** No rule, as before. */
export const createFlood: CreateStartRule = () => ({
  observe: () => undefined,
  canTake: () => true,
});

interface Vm {
  readonly upstreams: readonly TrackedUpstream[];
  readonly peerLoads: PeerLoads;
  readonly rule: StartRule;
}

interface Run {
  readonly vm: Vm;
  readonly index: number;
  readonly leftMs: number;
}

const finishRun = ({ vm, index }: Run, reported: number): void => {
  const upstream = vm.upstreams[index]!;
  upstream.recordCompletion();
  upstream.speed.recordWaitEnd(true);
  upstream.speed.recordAnswer({ reported, kind: 'run', units: 0, elapsedMs: RUN_MS });
  vm.rule.recordAnswer?.(upstream);
};

/** Many VMs that send to the least loaded upstream by what they know of each other, with a lag. */
export class PacedFleet {
  private readonly vms: readonly Vm[];

  private runs: Run[] = [];

  private due = 0;

  private restarts = 0;

  constructor(
    vmCount: number,
    private readonly upstreamCount: number,
    private readonly requestsPerMs: number,
    createRule: CreateStartRule,
  ) {
    const ids = Array.from({ length: vmCount }, (_, index) => toId<VmId>(`vm-${index}`));
    this.vms = ids.map((self) => {
      const peerLoads = new PeerLoads(10_000);
      const speed = new ServiceSpeed();
      speed.recordReport(1);
      return {
        peerLoads,
        rule: createRule((upstreamId) => ({
          rank: computeRendezvousRank(upstreamId, ids, self),
          count: ids.length,
        })),
        upstreams: Array.from(
          { length: upstreamCount },
          (_, index) => new TrackedUpstream(makeUpstream(`e${index}`), peerLoads, speed),
        ),
      };
    });
  }

  /** Gives the requests in flight at an upstream. */
  countInFlight(index: number): number {
    return this.runs.filter((run) => run.index === index).length;
  }

  /** Restarts the first upstreams; what they ran is lost, and `slowdown` holds for what comes. */
  restart(count: number): void {
    this.restarts += 1;
    const startedAtMs = 1_000 + this.restarts;
    this.runs = this.runs.filter((run) => {
      if (run.index < count) {
        run.vm.upstreams[run.index]!.recordCompletion();
        run.vm.upstreams[run.index]!.speed.recordWaitEnd(false);
      }
      return run.index >= count;
    });
    this.vms.forEach(({ upstreams }) =>
      upstreams
        .slice(0, count)
        .forEach((upstream) => upstream.update(makeUpstream(upstream.upstreamId, { startedAtMs }))),
    );
    this.exchangeReports();
  }

  /** @param getSlowdown how much longer work takes at an upstream, beside its load */
  run(durationMs: number, onStep: () => void, getSlowdown = (_index: number): number => 1): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      vi.advanceTimersByTime(STEP_MS);
      if (performance.now() % REPORT_MS < STEP_MS) this.exchangeReports();
      for (this.due += this.requestsPerMs * STEP_MS; this.due >= 1; this.due -= 1) this.send();
      const counts = Array.from({ length: this.upstreamCount }, (_, index) =>
        this.countInFlight(index),
      );
      this.runs = this.runs.flatMap((run) => {
        const slowdown = getSlowdown(run.index) * Math.max(1, counts[run.index]! / CAPACITY);
        const leftMs = run.leftMs - STEP_MS / slowdown;
        if (leftMs > 0) return [{ ...run, leftMs }];
        finishRun(run, getSlowdown(run.index));
        return [];
      });
      onStep();
    }
  }

  private sent = 0;

  private send(): void {
    const vm = this.vms[this.sent % this.vms.length]!;
    this.sent += 1;
    vm.rule.observe(vm.upstreams);
    const open = vm.upstreams.filter((upstream) => vm.rule.canTake(upstream));
    const candidates = open.length > 0 ? open : vm.upstreams;
    const best = candidates.reduce((left, right) =>
      right.estimateLoad() < left.estimateLoad() ? right : left,
    );
    best.recordDispatch(0);
    best.speed.recordSend(RUN_MS);
    this.runs.push({ vm, index: vm.upstreams.indexOf(best), leftMs: RUN_MS });
  }

  private exchangeReports(): void {
    this.vms.forEach(({ peerLoads }, receiver) =>
      this.vms.forEach(({ upstreams }, sender) => {
        if (sender === receiver) return;
        const loads = upstreams
          .filter(({ inFlight }) => inFlight > 0)
          .map(({ upstreamId, inFlight }) => ({
            upstreamId,
            inFlight,
            pendingTokens: 0,
            inFlightTokens: 0,
          }));
        peerLoads.recordReport(toId<VmId>(`vm-${sender}`), loads);
      }),
    );
  }
}
