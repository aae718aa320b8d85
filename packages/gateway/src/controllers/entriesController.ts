import { pickForCallers, sleep } from '@goldcrestscale/core';
import type { BootId, EntryHeartbeat, EntryRoster } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import type { GatewaySettings } from '../config.js';
import { ENTRY_HEARTBEAT_MS, LOG_RETRY_MS } from '../constants.js';
import type { KeyedRecord, SharedLog } from '../ports/index.js';
import type { RelayedBatch } from '../mesh/feedMessage.js';
import { decodeHeartbeat, encodeHeartbeat } from './heartbeatRecord.js';
import { LogWatch } from './logWatch.js';
import { TopicReader } from './topicReader.js';

/** What the controller is built from. */
export interface EntriesOptions {
  readonly log: SharedLog;
  readonly logger: Logger;
  readonly settings: GatewaySettings;
  readonly bootId: BootId;
  readonly roster: EntryRoster;
  /** Proves this VM's messages to the others. */
  readonly meshKey: string;
  readonly onBatch: (batch: RelayedBatch) => void;
  /** Passes the heartbeat to a relay, which writes it with its own; false where none does. */
  readonly forwardHeartbeat: (record: KeyedRecord) => boolean;
  /** Lists the heartbeats that other VMs pass to this one. */
  readonly listForwarded: () => readonly KeyedRecord[];
}

/** Tells the other entry VMs of this one through the log, and follows what they tell. */
export class EntriesController {
  readonly reader: TopicReader;

  private readonly writes: LogWatch;

  private isLeaving = false;

  private wake = new AbortController();

  constructor(private readonly options: EntriesOptions) {
    const { roster, logger } = options;
    this.writes = new LogWatch('heartbeat', logger);
    this.reader = new TopicReader({
      log: options.log,
      topic: 'entries',
      logger,
      getWaitMs: () => 0,
      getPauseMs: () => ENTRY_HEARTBEAT_MS,
      onSnapshot: (records) => this.applyRecords(records),
      onRecords: (records) => this.applyRecords(records),
      onReturn: () => roster.noteLogUp(),
      onDown: () => roster.noteLogDown(),
      onBatch: options.onBatch,
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.reader.run(signal), this.writeHeartbeats(signal)]);
  }

  /** Tells the others at once that this VM takes no new callers. */
  leave(): void {
    this.isLeaving = true;
    this.wake.abort();
  }

  /** Writes the next heartbeat now: the relay that wrote it may be gone. */
  renewHeartbeat(): void {
    this.wake.abort();
  }

  /** Lists the addresses that callers of a zone may use. */
  listAddresses(zone: string | undefined): readonly string[] {
    const { roster, settings } = this.options;
    const self = this.buildHeartbeat();
    const others = roster.listServing().filter(({ vmId }) => vmId !== settings.vmId);
    const serving = this.isLeaving && others.length > 0 ? others : [self, ...others];
    return pickForCallers(serving, zone).map(({ address }) => address);
  }

  private async writeHeartbeats(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.wake = new AbortController();
      try {
        await this.writeHeartbeat(signal);
        this.writes.noteSuccess();
        await sleep(ENTRY_HEARTBEAT_MS, AbortSignal.any([signal, this.wake.signal]));
      } catch (cause) {
        if (signal.aborted) return;
        this.writes.noteFailure(cause);
        await sleep(LOG_RETRY_MS, signal);
      }
    }
  }

  private async writeHeartbeat(signal: AbortSignal): Promise<void> {
    const { log, forwardHeartbeat, listForwarded } = this.options;
    const own = encodeHeartbeat(this.buildHeartbeat());
    // The end of a VM is told without a detour.
    if (!this.isLeaving && forwardHeartbeat(own)) return;
    await log.append('entries', [own, ...listForwarded()], signal);
  }

  private buildHeartbeat(): EntryHeartbeat {
    const { settings, bootId, meshKey } = this.options;
    return {
      vmId: settings.vmId,
      bootId,
      availabilityZone: settings.availabilityZone,
      address: settings.listen.callers,
      meshAddress: settings.listen.mesh,
      meshKey,
      leaving: this.isLeaving,
      size: settings.size,
    };
  }

  private applyRecords(records: readonly KeyedRecord[]): void {
    const { roster, logger } = this.options;
    records.forEach((record) => {
      const heartbeat = decodeHeartbeat(record);
      if (heartbeat) roster.noteHeartbeat(heartbeat);
      else logger.warn('heartbeat not understood', { key: record.key });
    });
  }
}
