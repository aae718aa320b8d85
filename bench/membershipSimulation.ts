import FakeTimers from '@sinonjs/fake-timers';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { encodeDetectorMessage, toId } from '@goldcrestscale/core';
import type {
  DetectorMessage,
  DetectorOptions,
  FailureDetector,
  MemberUpdate,
  VmId,
} from '@goldcrestscale/core';
import { encodeFrame } from '@goldcrestscale/entry';

/** Simulates a fleet with one failure detector per VM on a fake clock, along a failure trace. */

const STEP_MS = 5;
const TICK_MS = 100;

/** Headers of IPv4, TCP and a WebSocket frame. */
const HEADER_BYTES = 46;

/** Connection setup, both directions: TCP handshake, HTTP upgrade and mesh handshake. */
export const CONNECT_BYTES = 1_140;

const IDLE_CLOSE_MS = 60_000;

/** Failure trace: network delays, and the VMs that are killed or paused. */
export interface FailureTrace {
  readonly vmCount: number;
  readonly seed: number;
  readonly durationMs: number;
  readonly delayMinMs: number;
  readonly delayMaxMs: number;
  /** Fraction of messages that are retransmitted, which delays them by 200 to 400 ms. */
  readonly retransmittedShare: number;
  readonly kills: readonly { readonly atMs: number; readonly count: number }[];
  /** Fraction of VMs whose process is paused once. */
  readonly pauseShare: number;
  readonly pauseMs: number;
}

/** Results of a detector on a trace. */
export interface TraceResult {
  /** For each killed VM: time until each survivor removed it. */
  readonly detectionMs: readonly (readonly number[])[];
  /** Pairs of a killed VM and a survivor that has not removed it. */
  readonly undetectedCount: number;
  /** Live VMs that at least one other VM removed. */
  readonly falseRemovalCount: number;
  readonly messagesPerVmSecond: number;
  readonly bytesPerVmSecond: number;
  readonly cpuMsPerVmSecond: number;
}

interface SimulatedVm {
  readonly vmId: VmId;
  readonly detector: FailureDetector;
  killedAtMs: number;
  readonly pausedFromMs: number;
  inbox: { readonly from: VmId; readonly message: DetectorMessage }[];
}

type CreateDetector = (options: DetectorOptions) => FailureDetector;

interface Delivery {
  readonly to: SimulatedVm;
  readonly from: VmId;
  readonly message: DetectorMessage;
}

/** Simulated fleet; network traffic is counted at both sender and receiver. */
class SimulatedFleet {
  readonly vms: SimulatedVm[];

  readonly detectionMsByVm = new Map<VmId, number[]>();

  readonly falseRemovals = new Set<VmId>();

  messageCount = 0;

  byteCount = 0;

  private nowMs = 0;

  private readonly byId: Map<VmId, SimulatedVm>;

  private readonly deliveries = new Map<number, Delivery[]>();

  private readonly lastUsedAtMs = new Map<string, number>();

  private readonly bytesByShape = new Map<string, number>();

  private readonly random: () => number;

  constructor(
    private readonly trace: FailureTrace,
    createDetector: CreateDetector,
  ) {
    const generator = xoroshiro128plus(trace.seed);
    this.random = () => uniformFloat64(generator);
    this.vms = Array.from({ length: trace.vmCount }, (_, index) =>
      this.createVm(toId<VmId>(`entry-${String(index).padStart(4, '0')}`), createDetector),
    );
    this.byId = new Map(this.vms.map((vm) => [vm.vmId, vm]));
    const vmIds = this.vms.map((vm) => vm.vmId);
    this.vms.forEach((vm) => vm.detector.setMembers(vmIds));
  }

  advance(nowMs: number): void {
    this.nowMs = nowMs;
    this.killDueVms(nowMs);
    const dueDeliveries = this.deliveries.get(nowMs) ?? [];
    this.deliveries.delete(nowMs);
    dueDeliveries.forEach(({ to, from, message }) => {
      if (to.killedAtMs > nowMs) to.inbox.push({ from, message });
    });
    this.vms.forEach((vm, index) => this.runVm(vm, index));
  }

  private createVm(vmId: VmId, createDetector: CreateDetector): SimulatedVm {
    const isPaused = this.random() < this.trace.pauseShare;
    const pausedFromMs = this.random() * (this.trace.durationMs - this.trace.pauseMs);
    const detector = createDetector({
      self: vmId,
      incarnation: 1,
      random: this.random,
      send: (to, message) => this.send(vmId, to, message),
      onChange: (update) => this.recordUpdate(update),
    });
    return {
      vmId,
      detector,
      killedAtMs: Infinity,
      pausedFromMs: isPaused ? pausedFromMs : Infinity,
      inbox: [],
    };
  }

  private runVm(vm: SimulatedVm, index: number): void {
    const { nowMs } = this;
    const isPaused = nowMs >= vm.pausedFromMs && nowMs < vm.pausedFromMs + this.trace.pauseMs;
    if (isPaused || vm.killedAtMs <= nowMs) return;
    if (vm.inbox.length > 0) {
      const { inbox } = vm;
      const target = vm;
      target.inbox = [];
      inbox.forEach(({ from, message }) => vm.detector.receive(from, message));
    }
    if ((nowMs + index * STEP_MS) % TICK_MS === 0) vm.detector.runStep();
  }

  private killDueVms(nowMs: number): void {
    this.trace.kills
      .filter((kill) => kill.atMs === nowMs)
      .forEach((kill) => {
        const candidates = this.vms.filter(
          (vm) => vm.killedAtMs === Infinity && vm.pausedFromMs === Infinity,
        );
        candidates.slice(0, kill.count).forEach((vm) => {
          const target = vm;
          target.killedAtMs = nowMs;
          this.detectionMsByVm.set(vm.vmId, []);
        });
      });
  }

  private recordUpdate(update: MemberUpdate): void {
    if (update.state !== 'dead') return;
    const vm = this.byId.get(update.vmId) as SimulatedVm;
    if (vm.killedAtMs > this.nowMs) this.falseRemovals.add(update.vmId);
    else this.detectionMsByVm.get(update.vmId)?.push(this.nowMs - vm.killedAtMs);
  }

  private send(from: VmId, to: VmId, message: DetectorMessage): void {
    this.messageCount += 2;
    this.byteCount +=
      2 * this.computeMessageBytes(message) + 2 * this.computeConnectBytes(from, to);
    const { delayMinMs, delayMaxMs, retransmittedShare } = this.trace;
    const delayMs = delayMinMs + this.random() * (delayMaxMs - delayMinMs);
    const retransmissionMs = this.random() < retransmittedShare ? 200 + this.random() * 200 : 0;
    const dueAtMs =
      this.nowMs + Math.max(STEP_MS, Math.ceil((delayMs + retransmissionMs) / STEP_MS) * STEP_MS);
    const dueDeliveries = this.deliveries.get(dueAtMs) ?? [];
    dueDeliveries.push({ to: this.byId.get(to) as SimulatedVm, from, message });
    this.deliveries.set(dueAtMs, dueDeliveries);
  }

  /**
   * Computes the connection setup bytes of a message. Detectors with neighbours keep those connections
   * open; the connections of other detectors close when idle.
   */
  private computeConnectBytes(from: VmId, to: VmId): number {
    const sender = this.byId.get(from) as SimulatedVm;
    if (sender.detector.listNeighbours().length > 0) return 0;
    const pair = from < to ? `${from} ${to}` : `${to} ${from}`;
    const previouslyUsedAtMs = this.lastUsedAtMs.get(pair) ?? -Infinity;
    this.lastUsedAtMs.set(pair, this.nowMs);
    return this.nowMs - previouslyUsedAtMs > IDLE_CLOSE_MS ? CONNECT_BYTES : 0;
  }

  private computeMessageBytes(message: DetectorMessage): number {
    const key = `${message.kind} ${message.updates.length} ${message.target ? 1 : 0}`;
    const cachedBytes = this.bytesByShape.get(key);
    if (cachedBytes !== undefined) return cachedBytes;
    const payload = encodeDetectorMessage({
      ...message,
      sequence: 100_000,
      incarnation: 1_790_000_000_000,
    });
    const byteCount =
      encodeFrame({ kind: 'oneWay', type: 'membership', payload }).length + HEADER_BYTES;
    this.bytesByShape.set(key, byteCount);
    return byteCount;
  }
}

/** Runs a detector through a trace. */
export const simulateTrace = (trace: FailureTrace, createDetector: CreateDetector): TraceResult => {
  const clock = FakeTimers.install({ toFake: ['performance', 'Date'], now: 0 });
  const cpuBefore = process.cpuUsage();
  try {
    const fleet = new SimulatedFleet(trace, createDetector);
    for (let nowMs = 0; nowMs <= trace.durationMs; nowMs += STEP_MS) {
      fleet.advance(nowMs);
      clock.tick(STEP_MS);
    }
    const vmSeconds = (trace.vmCount * trace.durationMs) / 1_000;
    const survivors = fleet.vms.filter((vm) => vm.killedAtMs === Infinity).length;
    const detectionMs = [...fleet.detectionMsByVm.values()];
    const detectionCounts = detectionMs.map((times) => times.length);
    return {
      detectionMs,
      undetectedCount: detectionCounts.reduce(
        (sum, count) => sum + Math.max(0, survivors - count),
        0,
      ),
      falseRemovalCount: fleet.falseRemovals.size,
      messagesPerVmSecond: fleet.messageCount / vmSeconds,
      bytesPerVmSecond: fleet.byteCount / vmSeconds,
      cpuMsPerVmSecond: process.cpuUsage(cpuBefore).user / 1_000 / vmSeconds,
    };
  } finally {
    clock.uninstall();
  }
};
