import {
  decideFreshness,
  DETECTOR_TICK_MS,
  GridProbingDetector,
  INDIRECT_PROBE_TIMEOUT_MS,
  LogReports,
  rankEntryVms,
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
import type { PeerTransport } from '../../mesh/index.js';
import { Controller } from '../controller.js';
import { VM_LIST_POLL_INTERVAL_MS, VM_LIST_READ_TIMEOUT_MS } from './constants.js';
import {
  encodeMembershipMessage,
  MEMBERSHIP_MESSAGE,
  parseMembershipMessage,
} from './membershipMessage.js';

/** Options of the membership controller. */
export interface MembershipOptions {
  readonly link: PeerTransport;
  readonly vmList: VmListSource;
  /** Availability zones taken out of service in the configuration table. */
  readonly getZonesOut: () => ReadonlySet<AvailabilityZoneId>;
  /** Log offset up to which records are applied to the configuration table. */
  readonly getAppliedOffset: () => LogOffset;
  /** Called with the head offset of the log that a peer has reported. */
  readonly onPeerLogHead?: (headOffset: LogOffset) => void;
  /** Random numbers, uniformly distributed in [0, 1). */
  readonly random: () => number;
  /** Shared with the log reader. @default an empty instance */
  readonly logReports?: LogReports;
  /** @default a GridProbingDetector */
  readonly createDetector?: (options: DetectorOptions) => FailureDetector;
}

/**
 * Tracks which entry VMs are alive, and whether this VM's configuration is fresh enough to accept
 * work.
 */
export class MembershipController extends Controller {
  override readonly name = 'membership';

  /** Reports of the log's head; the log reader records its reads here. */
  readonly logReports: LogReports;

  private readonly detector: FailureDetector;

  private readonly listeners = new Set<(update: MemberUpdate) => void>();

  private readonly pingSentAtMs = new Map<string, number>();

  private vms: readonly VmRecord[] = [];

  private vmListReadAtMs: number | undefined;

  constructor(private readonly options: MembershipOptions) {
    super();
    this.logReports = options.logReports ?? new LogReports();
    const create = options.createDetector ?? ((given) => new GridProbingDetector(given));
    this.detector = create({
      self: options.link.self.vmId,
      incarnation: Date.now(),
      random: options.random,
      send: (to, message) => this.sendDetectorMessage(to, message),
      onChange: (update) => this.listeners.forEach((listener) => listener(update)),
    });
    options.link.register(MEMBERSHIP_MESSAGE, (payload, { from }) =>
      this.receiveMessage(from.vmId, payload),
    );
  }

  override async start(signal: AbortSignal): Promise<void> {
    await this.refreshVmList(signal);
    const timers = [
      setInterval(() => this.runDetectorStep(), DETECTOR_TICK_MS),
      setInterval(() => {
        this.refreshVmList(signal).catch(() => undefined);
      }, VM_LIST_POLL_INTERVAL_MS),
    ];
    signal.addEventListener('abort', () => timers.forEach((timer) => clearInterval(timer)), {
      once: true,
    });
  }

  /** Subscribes to state changes of members until the signal aborts. */
  subscribe(listener: (update: MemberUpdate) => void, signal: AbortSignal): void {
    this.listeners.add(listener);
    signal.addEventListener('abort', () => this.listeners.delete(listener), { once: true });
  }

  /** Ranks the entry VMs for a caller, best first; `key` is a prompt or session key. */
  rankEntryVms(key?: string): readonly VmRecord[] {
    return rankEntryVms({
      vms: this.vms,
      getState: (vmId) => this.detector.getState(vmId),
      zonesOut: this.options.getZonesOut(),
      key: key ?? String(this.options.random()),
    });
  }

  /** Lists the entry VMs that are not dead, including this one. */
  listLiveVms(): readonly VmId[] {
    return this.detector.listLive();
  }

  /** Lists the entry VMs that are neither dead nor leaving. */
  listActiveVms(): readonly VmId[] {
    return this.listLiveVms().filter((vmId) => this.detector.getState(vmId) !== 'leaving');
  }

  /** Lists the entry VMs on the VM list, including this one. */
  listEntryVms(): readonly VmId[] {
    const listedIds = this.listEntryRecords().map((vm) => vm.vmId);
    return [...new Set([...listedIds, this.options.link.self.vmId])];
  }

  /** Lists the VMs of every role from the last successful read of the VM list. */
  listVms(): readonly VmRecord[] {
    return this.vms;
  }

  /** Decides whether the configuration is fresh enough to accept new work. */
  decideFreshness(): Freshness {
    const entryVmIds = new Set(this.listEntryVms());
    return decideFreshness({
      appliedOffset: this.options.getAppliedOffset(),
      own: this.logReports.getOwn(),
      peers: this.logReports.listPeers(),
      knownVmCount: entryVmIds.size,
      reachableVmCount: this.listLiveVms().filter((vmId) => entryVmIds.has(vmId)).length,
    });
  }

  /** Announces that this VM is leaving, so that no VM lists it in `/v1/entries` any more. */
  leave(): void {
    this.detector.leave();
    this.runDetectorStep();
  }

  override dump(): unknown {
    return {
      vms: this.vms.map((vm) => ({ ...vm, detected: this.detector.getState(vm.vmId) })),
      listAgeMs:
        this.vmListReadAtMs === undefined ? undefined : performance.now() - this.vmListReadAtMs,
      detector: this.detector.dump(),
      neighbours: this.detector.listNeighbours().length,
      freshness: this.decideFreshness(),
    };
  }

  private listEntryRecords(): readonly VmRecord[] {
    return this.vms.filter((vm) => vm.role === 'entry');
  }

  private async refreshVmList(signal: AbortSignal): Promise<void> {
    const timeoutSignal = AbortSignal.any([signal, AbortSignal.timeout(VM_LIST_READ_TIMEOUT_MS)]);
    try {
      this.vms = await this.options.vmList.list(timeoutSignal);
      this.vmListReadAtMs = performance.now();
    } catch {
      // Keeps the last list: probes detect which of its VMs are still alive.
      return;
    }
    this.applyVmList();
  }

  private applyVmList(): void {
    const entries = this.listEntryRecords();
    const liveVmIds = new Set(this.detector.listLive());
    const isUnchanged =
      entries.every((vm) => this.detector.getState(vm.vmId) !== undefined) &&
      [...liveVmIds].every(
        (vmId) => vmId === this.options.link.self.vmId || entries.some((vm) => vm.vmId === vmId),
      );
    if (!isUnchanged) this.detector.setMembers(entries.map((vm) => vm.vmId));
    const neighbours = new Set(this.detector.listNeighbours());
    this.options.link.setPeers(
      entries.flatMap(({ vmId, meshAddress }) =>
        meshAddress ? { vmId, address: meshAddress, keepOpen: neighbours.has(vmId) } : [],
      ),
    );
  }

  private runDetectorStep(): void {
    this.detector.runStep();
    const sentBeforeMs = performance.now() - INDIRECT_PROBE_TIMEOUT_MS;
    this.pingSentAtMs.forEach((sentAtMs, key) => {
      if (sentAtMs < sentBeforeMs) this.pingSentAtMs.delete(key);
    });
  }

  private sendDetectorMessage(to: VmId, detectorMessage: DetectorMessage): void {
    if (detectorMessage.kind === 'ping') {
      this.pingSentAtMs.set(`${to} ${detectorMessage.sequence}`, performance.now());
    }
    const message =
      detectorMessage.kind === 'ack'
        ? { detectorMessage, logReport: this.logReports.getOwn() }
        : { detectorMessage };
    this.options.link.send(to, MEMBERSHIP_MESSAGE, encodeMembershipMessage(message));
  }

  private receiveMessage(from: VmId, payload: unknown): void {
    const message = parseMembershipMessage(payload);
    if (!message) throw new MeshError('malformed membership message', 'malformed');
    const { detectorMessage, logReport } = message;
    const sentAtMs = this.pingSentAtMs.get(`${from} ${detectorMessage.sequence}`);
    if (detectorMessage.kind === 'ack' && logReport && sentAtMs !== undefined) {
      this.logReports.addPeerReport(from, logReport, sentAtMs);
      if (logReport.head) this.options.onPeerLogHead?.(logReport.head.headOffset);
    }
    this.detector.receive(from, detectorMessage);
  }
}
