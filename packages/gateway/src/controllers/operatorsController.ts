import { FetchHorizon, OperatorState } from '@goldcrestscale/core';
import type { OperatorChange } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { OPERATOR_WAIT_MS, RELAY_OPERATOR_WAIT_MS } from '../constants.js';
import type { RelayedBatch } from '../mesh/feedMessage.js';
import type { KeyedRecord, RecordCodec, SharedLog } from '../ports/index.js';
import { TopicReader } from './topicReader.js';

/** What the controller is built from. */
export interface OperatorsOptions {
  readonly log: SharedLog;
  readonly codec: RecordCodec;
  readonly logger: Logger;
  readonly onDeployment: () => void;
  /** Called when other weights are named, or zones go out or come back. */
  readonly onChange: () => void;
  /** Whether other VMs rely on what this one reads, and on its being current. */
  readonly isRelay: () => boolean;
  readonly onBatch: (batch: RelayedBatch) => void;
}

/** Follows what operators write: configuration, weights, zones that are out. */
export class OperatorsController {
  readonly state = new OperatorState();

  readonly horizon = new FetchHorizon(this.state);

  readonly reader: TopicReader;

  constructor(private readonly options: OperatorsOptions) {
    this.reader = new TopicReader({
      log: options.log,
      topic: 'operators',
      logger: options.logger,
      getWaitMs: () => (options.isRelay() ? RELAY_OPERATOR_WAIT_MS : OPERATOR_WAIT_MS),
      getPauseMs: () => 0,
      onSnapshot: (records) => this.applySnapshot(records),
      onRecords: (records) => records.forEach((record) => this.applyRecord(record)),
      onProved: (at) => this.horizon.noteProved(at),
      onBatch: options.onBatch,
    });
  }

  run(signal: AbortSignal): Promise<void> {
    return this.reader.run(signal);
  }

  private applySnapshot(records: readonly KeyedRecord[]): void {
    const changes = records.map((record) => this.applyRecord(record));
    const zonesOut = changes.flatMap((change) => (change?.kind === 'zone-out' ? change.zone : []));
    if (this.state.replaceZonesOut(zonesOut)) this.options.logger.info('zones out', { zonesOut });
  }

  private applyRecord(record: KeyedRecord): OperatorChange | undefined {
    const { codec, logger } = this.options;
    const change = codec.decodeOperator(record);
    if (!change) {
      logger.warn('operator record not understood', { key: record.key });
      return undefined;
    }
    if (!this.state.apply(change)) return change;
    if (change.kind === 'deployment') {
      logger.info('configuration in force', { version: change.deployment.version });
      this.options.onDeployment();
    } else {
      logger.info('operators changed', { ...change });
      this.options.onChange();
    }
    return change;
  }
}
