import { CallerShare, pickCallerEntries, sleep, waitForAbort } from '@goldcrestscale/core';
import type {
  BootId,
  EntryHeartbeat,
  EntryRoster,
  CrashQuarantine,
  VmId,
  VersionsInUse,
} from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import type { GatewaySettings } from '../config.js';
import {
  FIRST_HEARTBEAT_DELAY_MS,
  HEARTBEAT_INTERVAL_MS,
  LOG_RETRY_DELAY_MS,
} from '../constants.js';
import type { KeyedRecord, SharedLog } from '../ports/index.js';
import type { FaultRecorder } from '../faultRecorder.js';
import { RequestLog } from '../requestLog.js';
import type { RelayedBatch } from '../mesh/feedMessage.js';
import { HeartbeatDecoder, encodeHeartbeat, readRefusedPatterns } from './heartbeatRecord.js';
import { LogHealthMonitor } from './logHealthMonitor.js';
import { applyRecords } from './applyRecords.js';
import { ENTRY_FACT_TIMING } from './factTiming.js';
import { TopicReader } from './topicReader.js';

/** Part of the interval between heartbeats for which the utilization is measured at least. */
const MIN_MEASURED_FRACTION = 0.9;

/** Dependencies of the controller. */
export interface EntriesOptions {
  readonly log: SharedLog;
  readonly logger: Logger;
  readonly settings: GatewaySettings;
  readonly bootId: BootId;
  readonly roster: EntryRoster;
  readonly quarantine: CrashQuarantine;
  readonly versions: VersionsInUse;
  /** Called when the log came back from an older copy. */
  readonly onNewEra: () => void;
  /** Whether this VM reports refused patterns in its heartbeats; of a group, the relays do. */
  readonly isReportingRefusals: () => boolean;
  /** Whether this VM knows enough to serve callers. */
  readonly canServe: () => boolean;
  /** Reads what part of this VM's scarcest resource was in use since the last call, from 0 to 1. */
  readonly readUtilization: () => number;
  /** Called when this VM wants to be in another part of the directory's answers. */
  readonly onShareChange: (share: number) => void;
  /** Key with which other VMs authenticate this VM's messages. */
  readonly meshKey: string;
  readonly faults: FaultRecorder;
  /** When this VM begins to read among the followers of a relay, in [0, 1). */
  readonly readPhase: number;
  readonly onBatch: (batch: RelayedBatch) => void;
  /** Sends the heartbeat to a relay, which appends it with its own; false if no relay is connected. */
  readonly forwardHeartbeat: (record: KeyedRecord) => boolean;
  /** Lists the heartbeats that followers have sent to this VM. */
  readonly listForwardedHeartbeats: () => readonly KeyedRecord[];
}

/** Publishes this VM's heartbeat in the log and follows the heartbeats of the other entry VMs. */
export class EntriesController {
  readonly reader: TopicReader;

  private readonly logHealth: LogHealthMonitor;

  /** Bounds the number of lines about records of other writers. */
  private readonly recordLog: RequestLog;

  private readonly decoder = new HeartbeatDecoder();

  private isLeaving = false;

  private readonly callerShare = new CallerShare();

  private shareDueAtMs = -Infinity;

  /** Whether the last heartbeat told that this VM can't serve. */
  private isReportedUnready = false;

  private pauseController = new AbortController();

  private hasSnapshot = false;

  private readonly firstSnapshotController = new AbortController();

  constructor(private readonly options: EntriesOptions) {
    const { roster, logger } = options;
    this.logHealth = new LogHealthMonitor('heartbeat', logger);
    this.recordLog = new RequestLog(logger);
    this.reader = new TopicReader({
      log: options.log,
      topic: 'entries',
      logger,
      getLongPollMs: () => 0,
      getPauseMs: () => HEARTBEAT_INTERVAL_MS,
      timing: ENTRY_FACT_TIMING,
      readPhase: options.readPhase,
      onSnapshot: (records) => this.applySnapshot(records),
      onRecords: (records) => {
        this.decode(records).forEach((heartbeat) => {
          roster.recordHeartbeat(heartbeat);
          options.quarantine.merge(readRefusedPatterns(heartbeat));
          if (heartbeat.vmId !== options.settings.vmId)
            options.versions.recordReport(heartbeat.versions ?? []);
        });
        this.logIgnored();
      },
      onRecovery: () => roster.recordLogRecovery(),
      onOutage: () => roster.recordLogOutage(),
      onNewEra: () => {
        this.publishHeartbeat();
        options.onNewEra();
      },
      onBatch: options.onBatch,
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.reader.run(signal), this.writeHeartbeats(signal)]);
  }

  /** Publishes at once that this VM accepts no new callers. */
  leave(): void {
    this.isLeaving = true;
    this.pauseController.abort();
  }

  /** Publishes a heartbeat now, because the relay that appended it may be gone. */
  publishHeartbeat(): void {
    this.pauseController.abort();
  }

  /** Publishes at once that this VM can serve, if its last heartbeat told otherwise. */
  checkReady(): void {
    if (this.isReportedUnready && this.options.canServe()) this.publishHeartbeat();
  }

  /** Lists the addresses that callers of an availability zone may use; empty if it knows of no ready VM. */
  listAddresses(zone: string | undefined): readonly string[] {
    const { roster, settings } = this.options;
    const self = this.buildHeartbeat();
    const others = roster.listServing().filter(({ vmId }) => vmId !== settings.vmId);
    const serving = this.isLeaving && others.length > 0 ? others : [self, ...others];
    const isSilent = (vmId: VmId): boolean => roster.isSilent(vmId);
    const picked = pickCallerEntries(serving, { zone, nowMs: Date.now(), isSilent });
    return picked.map(({ address }) => address);
  }

  private applySnapshot(records: readonly KeyedRecord[]): void {
    const { roster, versions } = this.options;
    const heartbeats = this.decode(records);
    const sightings = heartbeats.flatMap((heartbeat) => heartbeat.versions ?? []);
    roster.recordSnapshot(heartbeats);
    this.logIgnored();
    if (this.hasSnapshot) versions.recordReport(sightings);
    else versions.recordFirstReports(sightings);
    this.hasSnapshot = true;
    this.firstSnapshotController.abort();
  }

  private logIgnored(): void {
    const ignored = this.options.roster.takeIgnored();
    if (ignored > 0) this.recordLog.log('roster is full; ignoring heartbeats', { ignored });
  }

  /** The first heartbeat replaces the one from before the start, so that has to be read first. */
  private async waitForSnapshot(signal: AbortSignal): Promise<void> {
    const { signal: snapshotSignal } = this.firstSnapshotController;
    if (!this.hasSnapshot) await waitForAbort(AbortSignal.any([signal, snapshotSignal]));
  }

  private async writeHeartbeats(signal: AbortSignal): Promise<void> {
    await this.waitForSnapshot(signal);
    if (!this.options.canServe()) {
      // The rest of what a start reads comes at about the same time, and a second heartbeat costs a call.
      this.isReportedUnready = true;
      const pauseSignal = this.pauseController.signal;
      await sleep(FIRST_HEARTBEAT_DELAY_MS, AbortSignal.any([signal, pauseSignal]));
    }
    while (!signal.aborted) {
      this.pauseController = new AbortController();
      try {
        await this.writeHeartbeat(signal);
        this.logHealth.recordSuccess();
        await sleep(HEARTBEAT_INTERVAL_MS, AbortSignal.any([signal, this.pauseController.signal]));
      } catch (cause) {
        if (signal.aborted) return;
        this.logHealth.recordFailure(cause);
        await sleep(LOG_RETRY_DELAY_MS, signal);
      }
    }
  }

  private async writeHeartbeat(signal: AbortSignal): Promise<void> {
    const { log, forwardHeartbeat, listForwardedHeartbeats } = this.options;
    const { quarantine, isReportingRefusals } = this.options;
    const refused = isReportingRefusals() ? quarantine.listRefused() : [];
    this.updateCallerShare();
    const heartbeat = this.buildHeartbeat();
    this.isReportedUnready = heartbeat.isReady === false;
    const ownRecord = encodeHeartbeat(heartbeat, refused);
    // Also while it shuts down; otherwise the relay would go on writing the record from before.
    const isForwarded = forwardHeartbeat(ownRecord);
    // A VM that shuts down writes to the log itself too, without the delay of a relay.
    if (isForwarded && !this.isLeaving) return;
    await log.append('entries', [ownRecord, ...listForwardedHeartbeats()], signal);
  }

  /** Heartbeats that are published early would measure too short a time. */
  private updateCallerShare(): void {
    const { readUtilization, onShareChange } = this.options;
    const nowMs = performance.now();
    if (nowMs < this.shareDueAtMs) return;
    this.shareDueAtMs = nowMs + HEARTBEAT_INTERVAL_MS * MIN_MEASURED_FRACTION;
    const utilization = readUtilization();
    if (!this.callerShare.update(utilization)) return;
    const share = this.callerShare.value;
    this.recordLog.log('share of callers changed', { share, utilization });
    onShareChange(share);
  }

  private buildHeartbeat(): EntryHeartbeat {
    const { settings, bootId, meshKey, canServe } = this.options;
    const share = this.callerShare.value;
    return {
      vmId: settings.vmId,
      bootId,
      availabilityZone: settings.availabilityZone,
      address: settings.listen.callers,
      meshAddress: settings.listen.mesh,
      meshKey,
      leaving: this.isLeaving,
      size: settings.capacityScore,
      linkMbps: settings.linkMbps,
      callerShare: share < 1 ? share : undefined,
      isReady: canServe() ? undefined : false,
      versions: this.options.versions.listOwn(),
    };
  }

  /** @returns the heartbeats of the valid records */
  private decode(records: readonly KeyedRecord[]): readonly EntryHeartbeat[] {
    return applyRecords('entries', records, this.options.faults, (record) => {
      const heartbeat = this.decoder.decode(record);
      if (!heartbeat) {
        this.recordLog.log('ignoring invalid heartbeat record', { key: record.key });
      }
      return heartbeat;
    });
  }
}
