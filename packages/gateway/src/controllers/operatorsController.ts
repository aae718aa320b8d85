import { FetchWindow, OperatorState } from '@goldcrestscale/core';
import type { OperatorChange } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { OPERATOR_POLL_MS, RELAY_OPERATOR_POLL_MS } from '../constants.js';
import type { FaultRecorder } from '../faultRecorder.js';
import type { RelayedBatch } from '../mesh/feedMessage.js';
import type { KeyedRecord, RecordCodec, SharedLog } from '../ports/index.js';
import { RequestLog } from '../requestLog.js';
import { applyRecords } from './applyRecords.js';
import { OPERATOR_FACT_TIMING } from './factTiming.js';
import { TopicReader } from './topicReader.js';

/** Dependencies of the controller. */
export interface OperatorsOptions {
  readonly log: SharedLog;
  readonly codec: RecordCodec;
  readonly logger: Logger;
  /** Whether the whole fleet starts together with this VM. */
  readonly isFleetStart: boolean;
  readonly onDeployment: () => void;
  /** Called when the wanted weights change, or a zone is taken out of service or put back. */
  readonly onChange: () => void;
  /** Whether this VM is a relay, so that other VMs depend on how current its reads are. */
  readonly isRelay: () => boolean;
  readonly faults: FaultRecorder;
  /** When this VM begins to read among the followers of a relay, in [0, 1). */
  readonly readPhase: number;
  readonly onBatch: (batch: RelayedBatch) => void;
}

/** Follows the records of operators: configuration, wanted weights and zones out of service. */
export class OperatorsController {
  readonly state: OperatorState;

  readonly fetchWindow: FetchWindow;

  readonly reader: TopicReader;

  /** Bounds the number of lines about records that are not applied. */
  private readonly recordLog: RequestLog;

  constructor(private readonly options: OperatorsOptions) {
    this.recordLog = new RequestLog(options.logger);
    this.state = new OperatorState(options.isFleetStart);
    this.fetchWindow = new FetchWindow(this.state);
    this.reader = new TopicReader({
      log: options.log,
      topic: 'operators',
      logger: options.logger,
      getLongPollMs: () => (options.isRelay() ? RELAY_OPERATOR_POLL_MS : OPERATOR_POLL_MS),
      getPauseMs: () => 0,
      timing: OPERATOR_FACT_TIMING,
      readPhase: options.readPhase,
      onSnapshot: (records, isSettled) => this.applySnapshot(records, isSettled),
      onRecords: (records) => this.applyRecords(records),
      onCaughtUp: (at) => {
        this.fetchWindow.recordConfirmation(at);
        this.state.recordConfirmation(at);
      },
      onBatch: options.onBatch,
    });
  }

  run(signal: AbortSignal): Promise<void> {
    return this.reader.run(signal);
  }

  private applySnapshot(records: readonly KeyedRecord[], isSettled: boolean): void {
    const changes = this.applyRecords(records);
    // A zone stays out of service until the operators had time to write its record again.
    if (!isSettled) return;
    const zonesOut = changes.flatMap((change) => (change.kind === 'zone-out' ? change.zone : []));
    if (this.state.replaceZonesOut(zonesOut))
      this.options.logger.info('zones out of service', { zonesOut });
  }

  private applyRecords(records: readonly KeyedRecord[]): readonly OperatorChange[] {
    return applyRecords('operators', records, this.options.faults, (record) =>
      this.applyRecord(record),
    );
  }

  private applyRecord(record: KeyedRecord): OperatorChange | undefined {
    const { codec, logger } = this.options;
    const change = codec.decodeOperatorChange(record);
    if (!change) {
      this.recordLog.log('ignoring invalid operator record', { key: record.key });
      return undefined;
    }
    if (!this.state.hasRoomFor(change)) {
      this.recordLog.log('ignoring operator record beyond the limit', { key: record.key });
      return undefined;
    }
    if (!this.state.apply(change)) return change;
    if (change.kind === 'deployment') {
      logger.info('configuration applied', { version: change.deployment.version });
      this.options.onDeployment();
    } else {
      logger.info('operator change applied', { ...change });
      this.options.onChange();
    }
    return change;
  }
}
