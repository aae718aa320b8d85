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

/** Runs one failure detector on every VM of a fleet, on the paused clock, through a failure trace. */

const STEP_MS = 5;
const TICK_MS = 100;

/** Headers of IPv4, TCP and a WebSocket frame, in bytes. */
const HEADER_BYTES = 46;

/** Set-up of a connection, both directions: TCP, HTTP upgrade and greeting, in bytes. */
export const CONNECT_BYTES = 1_140;

const IDLE_CLOSE_MS = 60_000;

/** A trace: what fails and when. */
export interface Trace {
  readonly vmCount: number;
  readonly seed: number;
  readonly durationMs: number;
  readonly delayMinMs: number;
  readonly delayMaxMs: number;
  /** Share of messages that need a retransmission. */
  readonly lateShare: number;
  readonly kills: readonly { readonly atMs: number; readonly count: number }[];
  /** Share of VMs whose process is paused once. */
  readonly pauseShare: number;
  readonly pauseMs: number;
}

/** What a detector did on a trace. */
export interface TraceResult {
  /** Time from a kill to each survivor's removal of the VM, in milliseconds, per kill. */
  readonly detectionMs: readonly (readonly number[])[];
  /** Survivors that have not removed a killed VM. */
  readonly missed: number;
  /** Live VMs that at least one survivor removed. */
  readonly falselyRemoved: number;
  readonly messagesPerVmSecond: number;
  readonly bytesPerVmSecond: number;
  readonly processorMsPerVmSecond: number;
}

interface Node {
  readonly vmId: VmId;
  readonly detector: FailureDetector;
  killedAtMs: number;
  readonly pausedFromMs: number;
  inbox: { readonly from: VmId; readonly message: DetectorMessage }[];
}

type CreateDetector = (options: DetectorOptions) => FailureDetector;

interface Delivery {
  readonly to: Node;
  readonly from: VmId;
  readonly message: DetectorMessage;
}

/** A simulated fleet. */
class Fleet {
  readonly nodes: Node[];

  readonly detections = new Map<VmId, number[]>();

  readonly falseRemovals = new Set<VmId>();

  messages = 0;

  bytes = 0;

  private nowMs = 0;

  private readonly byId: Map<VmId, Node>;

  private readonly deliveries = new Map<number, Delivery[]>();

  private readonly lastUsedMs = new Map<string, number>();

  private readonly sizes = new Map<string, number>();

  private readonly random: () => number;

  constructor(
    private readonly trace: Trace,
    createDetector: CreateDetector,
  ) {
    const generator = xoroshiro128plus(trace.seed);
    this.random = () => uniformFloat64(generator);
    this.nodes = Array.from({ length: trace.vmCount }, (_, index) =>
      this.createNode(toId<VmId>(`entry-${String(index).padStart(4, '0')}`), createDetector),
    );
    this.byId = new Map(this.nodes.map((node) => [node.vmId, node]));
    const vmIds = this.nodes.map((node) => node.vmId);
    this.nodes.forEach((node) => node.detector.setMembers(vmIds));
  }

  advance(nowMs: number): void {
    this.nowMs = nowMs;
    this.removeDue(nowMs);
    const due = this.deliveries.get(nowMs) ?? [];
    this.deliveries.delete(nowMs);
    due.forEach(({ to, from, message }) => {
      if (to.killedAtMs > nowMs) to.inbox.push({ from, message });
    });
    this.nodes.forEach((node, index) => this.runNode(node, index));
  }

  private createNode(vmId: VmId, createDetector: CreateDetector): Node {
    const isPaused = this.random() < this.trace.pauseShare;
    const pausedFromMs = this.random() * (this.trace.durationMs - this.trace.pauseMs);
    const detector = createDetector({
      self: vmId,
      incarnation: 1,
      random: this.random,
      send: (to, message) => this.send(vmId, to, message),
      onChange: (update) => this.noteChange(update),
    });
    return {
      vmId,
      detector,
      killedAtMs: Infinity,
      pausedFromMs: isPaused ? pausedFromMs : Infinity,
      inbox: [],
    };
  }

  private runNode(node: Node, index: number): void {
    const { nowMs } = this;
    const isPaused = nowMs >= node.pausedFromMs && nowMs < node.pausedFromMs + this.trace.pauseMs;
    if (isPaused || node.killedAtMs <= nowMs) return;
    if (node.inbox.length > 0) {
      const { inbox } = node;
      const target = node;
      target.inbox = [];
      inbox.forEach(({ from, message }) => node.detector.receive(from, message));
    }
    if ((nowMs + index * STEP_MS) % TICK_MS === 0) node.detector.runStep();
  }

  private removeDue(nowMs: number): void {
    this.trace.kills
      .filter((kill) => kill.atMs === nowMs)
      .forEach((kill) => {
        const candidates = this.nodes.filter(
          (node) => node.killedAtMs === Infinity && node.pausedFromMs === Infinity,
        );
        candidates.slice(0, kill.count).forEach((node) => {
          const target = node;
          target.killedAtMs = nowMs;
          this.detections.set(node.vmId, []);
        });
      });
  }

  private noteChange(update: MemberUpdate): void {
    if (update.state !== 'dead') return;
    const node = this.byId.get(update.vmId) as Node;
    if (node.killedAtMs > this.nowMs) this.falseRemovals.add(update.vmId);
    else this.detections.get(update.vmId)?.push(this.nowMs - node.killedAtMs);
  }

  private send(from: VmId, to: VmId, message: DetectorMessage): void {
    this.messages += 2;
    this.bytes += 2 * this.measure(message) + 2 * this.chargeConnection(from, to);
    const { delayMinMs, delayMaxMs, lateShare } = this.trace;
    const delayMs = delayMinMs + this.random() * (delayMaxMs - delayMinMs);
    const lateMs = this.random() < lateShare ? 200 + this.random() * 200 : 0;
    const dueMs = this.nowMs + Math.max(STEP_MS, Math.ceil((delayMs + lateMs) / STEP_MS) * STEP_MS);
    const due = this.deliveries.get(dueMs) ?? [];
    due.push({ to: this.byId.get(to) as Node, from, message });
    this.deliveries.set(dueMs, due);
  }

  /** Neighbours stay connected; other connections close when idle. */
  private chargeConnection(from: VmId, to: VmId): number {
    const sender = this.byId.get(from) as Node;
    if (sender.detector.listNeighbours().length > 0) return 0;
    const pair = from < to ? `${from} ${to}` : `${to} ${from}`;
    const usedMs = this.lastUsedMs.get(pair) ?? -Infinity;
    this.lastUsedMs.set(pair, this.nowMs);
    return this.nowMs - usedMs > IDLE_CLOSE_MS ? CONNECT_BYTES : 0;
  }

  private measure(message: DetectorMessage): number {
    const key = `${message.kind} ${message.updates.length} ${message.target ? 1 : 0}`;
    const known = this.sizes.get(key);
    if (known !== undefined) return known;
    const payload = encodeDetectorMessage({
      ...message,
      sequence: 100_000,
      incarnation: 1_790_000_000_000,
    });
    const bytes =
      encodeFrame({ kind: 'oneWay', type: 'membership', payload }).length + HEADER_BYTES;
    this.sizes.set(key, bytes);
    return bytes;
  }
}

/** Runs a detector through a trace. */
export const runTrace = (trace: Trace, createDetector: CreateDetector): TraceResult => {
  const clock = FakeTimers.install({ toFake: ['performance', 'Date'], now: 0 });
  const startedCpu = process.cpuUsage();
  try {
    const fleet = new Fleet(trace, createDetector);
    for (let nowMs = 0; nowMs <= trace.durationMs; nowMs += STEP_MS) {
      fleet.advance(nowMs);
      clock.tick(STEP_MS);
    }
    const vmSeconds = (trace.vmCount * trace.durationMs) / 1_000;
    const survivors = fleet.nodes.filter((node) => node.killedAtMs === Infinity).length;
    const detectionMs = [...fleet.detections.values()];
    const seen = detectionMs.map((times) => times.length);
    return {
      detectionMs,
      missed: seen.reduce((sum, count) => sum + Math.max(0, survivors - count), 0),
      falselyRemoved: fleet.falseRemovals.size,
      messagesPerVmSecond: fleet.messages / vmSeconds,
      bytesPerVmSecond: fleet.bytes / vmSeconds,
      processorMsPerVmSecond: process.cpuUsage(startedCpu).user / 1_000 / vmSeconds,
    };
  } finally {
    clock.uninstall();
  }
};
