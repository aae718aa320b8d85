import {
  decideFreshness,
  DETECTOR_TICK_MS,
  GridProbingDetector,
  INDIRECT_TIMEOUT_MS,
  LogReports,
  rankEntries,
} from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  DetectorMessage,
  DetectorOptions,
  FailureDetector,
  Freshness,
  LogOffset,
  MemberUpdate,
  VmId,
  VmListSource,
  VmRecord,
} from '@goldcrestscale/core';
import { MeshError } from '../../mesh/index.js';
import type { PeerLink } from '../../mesh/index.js';
import { Controller } from '../controller.js';
import { VM_LIST_POLL_MS, VM_LIST_TIMEOUT_MS } from './constants.js';
import {
  encodeMembershipMessage,
  MEMBERSHIP_MESSAGE,
  parseMembershipMessage,
} from './membershipMessage.js';

/** What the membership controller needs. */
export interface MembershipOptions {
  readonly link: PeerLink;
  readonly vmList: VmListSource;
  /** Availability zones that the table has taken out. */
  readonly getZonesOut: () => ReadonlySet<AvailabilityZoneId>;
  /** Offset up to which the table is folded. */
  readonly getFoldedOffset: () => LogOffset;
  /** Told where a peer found the head of the log. */
  readonly onPeerHead?: (headOffset: LogOffset) => void;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Shared with the reader of the log. @default an empty one */
  readonly logReports?: LogReports;
  /** @default a GridProbingDetector */
  readonly createDetector?: (options: DetectorOptions) => FailureDetector;
}

/** Knows which entry VMs are alive and whether this one's configuration is fresh. */
export class MembershipController extends Controller {
  override readonly name = 'membership';

  /** Reports of the log's head; the log's reader notes its reads here. */
  readonly logReports: LogReports;

  private readonly detector: FailureDetector;

  private readonly listeners = new Set<(update: MemberUpdate) => void>();

  private readonly pingsSentAtMs = new Map<string, number>();

  private vms: readonly VmRecord[] = [];

  private lastListReadMs: number | undefined;

  constructor(private readonly options: MembershipOptions) {
    super();
    this.logReports = options.logReports ?? new LogReports();
    const create = options.createDetector ?? ((given) => new GridProbingDetector(given));
    this.detector = create({
      self: options.link.self.vmId,
      incarnation: Date.now(),
      random: options.random,
      send: (to, message) => this.send(to, message),
      onChange: (update) => this.listeners.forEach((listener) => listener(update)),
    });
    options.link.register(MEMBERSHIP_MESSAGE, (payload, { from }) =>
      this.receive(from.vmId, payload),
    );
  }

  override async start(signal: AbortSignal): Promise<void> {
    await this.refresh(signal);
    const timers = [
      setInterval(() => this.runStep(), DETECTOR_TICK_MS),
      setInterval(() => {
        this.refresh(signal).catch(() => undefined);
      }, VM_LIST_POLL_MS),
    ];
    signal.addEventListener('abort', () => timers.forEach((timer) => clearInterval(timer)), {
      once: true,
    });
  }

  /** Subscribes to changes of members' states. */
  subscribe(listener: (update: MemberUpdate) => void, signal: AbortSignal): void {
    this.listeners.add(listener);
    signal.addEventListener('abort', () => this.listeners.delete(listener), { once: true });
  }

  /** Gives the entry VMs for a caller, best first; `key` is a prompt or session key. */
  rankEntries(key?: string): readonly VmRecord[] {
    return rankEntries({
      vms: this.vms,
      getState: (vmId) => this.detector.getState(vmId),
      zonesOut: this.options.getZonesOut(),
      key: key ?? String(this.options.random()),
    });
  }

  /** Lists the entry VMs that are not dead, this one included. */
  listLive(): readonly VmId[] {
    return this.detector.listLive();
  }

  /** Lists the entry VMs that are neither dead nor about to leave. */
  listStaying(): readonly VmId[] {
    return this.listLive().filter((vmId) => this.detector.getState(vmId) !== 'leaving');
  }

  /** Lists the entry VMs of the VM list, this one included. */
  listEntryVms(): readonly VmId[] {
    const listed = this.listEntries().map((vm) => vm.vmId);
    return [...new Set([...listed, this.options.link.self.vmId])];
  }

  /** Lists the VMs of every role as the VM list last showed them. */
  listVms(): readonly VmRecord[] {
    return this.vms;
  }

  /** Decides whether new work may be accepted under the configuration at hand. */
  decideFreshness(): Freshness {
    const known = new Set(this.listEntryVms());
    return decideFreshness({
      foldedOffset: this.options.getFoldedOffset(),
      own: this.logReports.getOwn(),
      peers: this.logReports.listPeers(),
      knownVms: known.size,
      heardVms: this.listLive().filter((vmId) => known.has(vmId)).length,
    });
  }

  /** Takes this VM out of the answers of `/v1/entries` everywhere. */
  leave(): void {
    this.detector.leave();
    this.runStep();
  }

  override dump(): unknown {
    return {
      vms: this.vms.map((vm) => ({ ...vm, detected: this.detector.getState(vm.vmId) })),
      listAgeMs:
        this.lastListReadMs === undefined ? undefined : performance.now() - this.lastListReadMs,
      detector: this.detector.dump(),
      neighbours: this.detector.listNeighbours().length,
      freshness: this.decideFreshness(),
    };
  }

  private listEntries(): readonly VmRecord[] {
    return this.vms.filter((vm) => vm.role === 'entry');
  }

  private async refresh(signal: AbortSignal): Promise<void> {
    const limited = AbortSignal.any([signal, AbortSignal.timeout(VM_LIST_TIMEOUT_MS)]);
    try {
      this.vms = await this.options.vmList.list(limited);
      this.lastListReadMs = performance.now();
    } catch {
      // The last list stays in use: it says who was there, and probes say who still is.
      return;
    }
    this.applyList();
  }

  private applyList(): void {
    const entries = this.listEntries();
    const known = new Set(this.detector.listLive());
    const isSame =
      entries.every((vm) => this.detector.getState(vm.vmId) !== undefined) &&
      [...known].every(
        (vmId) => vmId === this.options.link.self.vmId || entries.some((vm) => vm.vmId === vmId),
      );
    if (!isSame) this.detector.setMembers(entries.map((vm) => vm.vmId));
    const neighbours = new Set(this.detector.listNeighbours());
    this.options.link.setPeers(
      entries.flatMap(({ vmId, meshAddress }) =>
        meshAddress ? { vmId, address: meshAddress, keepOpen: neighbours.has(vmId) } : [],
      ),
    );
  }

  private runStep(): void {
    this.detector.runStep();
    const expiredMs = performance.now() - INDIRECT_TIMEOUT_MS;
    this.pingsSentAtMs.forEach((sentAtMs, key) => {
      if (sentAtMs < expiredMs) this.pingsSentAtMs.delete(key);
    });
  }

  private send(to: VmId, detector: DetectorMessage): void {
    if (detector.kind === 'ping') {
      this.pingsSentAtMs.set(`${to} ${detector.sequence}`, performance.now());
    }
    const message =
      detector.kind === 'ack' ? { detector, report: this.logReports.getOwn() } : { detector };
    this.options.link.send(to, MEMBERSHIP_MESSAGE, encodeMembershipMessage(message));
  }

  private receive(from: VmId, payload: unknown): void {
    const message = parseMembershipMessage(payload);
    if (!message) throw new MeshError('malformed membership message', 'malformed');
    const { detector, report } = message;
    const askedAtMs = this.pingsSentAtMs.get(`${from} ${detector.sequence}`);
    if (detector.kind === 'ack' && report && askedAtMs !== undefined) {
      this.logReports.addPeerReport(from, report, askedAtMs);
      if (report.stamp) this.options.onPeerHead?.(report.stamp.headOffset);
    }
    this.detector.receive(from, detector);
  }
}
