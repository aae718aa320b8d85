import type { RegisteredUpstream, UpstreamRegistry } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { UPSTREAM_READ_INTERVAL_MS } from '../constants.js';
import type { KeyedRecord, RecordCodec, SharedLog } from '../ports/index.js';
import type { RelayedBatch } from '../mesh/feedMessage.js';
import { UPSTREAM_FACT_TIMING } from './factTiming.js';
import { TopicReader } from './topicReader.js';

/** Dependencies of the controller. */
export interface GatewayUpstreamsOptions {
  readonly log: SharedLog;
  readonly codec: RecordCodec;
  readonly logger: Logger;
  readonly registry: UpstreamRegistry;
  readonly onBatch: (batch: RelayedBatch) => void;
}

/** Keeps the upstream registry in sync with its topic of the log. */
export class GatewayUpstreamsController {
  readonly reader: TopicReader;

  constructor(private readonly options: GatewayUpstreamsOptions) {
    const { registry } = options;
    this.reader = new TopicReader({
      log: options.log,
      topic: 'upstreams',
      logger: options.logger,
      // Each heartbeat is a record, so a long poll would return at once.
      getLongPollMs: () => 0,
      getPauseMs: () => UPSTREAM_READ_INTERVAL_MS,
      timing: UPSTREAM_FACT_TIMING,
      onSnapshot: (records) => this.applySnapshot(records),
      onRecords: (records) => this.applyRecords(records),
      onRecovery: () => registry.recordLogRecovery(),
      onNewEra: () => registry.recordLogRecovery(),
      onBatch: options.onBatch,
    });
  }

  /** Whether the snapshot of the registry has been read. */
  get hasSnapshot(): boolean {
    return this.reader.hasSnapshot;
  }

  run(signal: AbortSignal): Promise<void> {
    return this.reader.run(signal);
  }

  private applySnapshot(records: readonly KeyedRecord[]): void {
    const present: RegisteredUpstream[] = [];
    records.forEach((record) => {
      const change = this.options.codec.decodeRegistryChange(record);
      if (change.kind === 'present') present.push(change.upstream);
    });
    this.options.registry.replaceAll(present);
    this.options.logger.info('upstream registry loaded', { upstreams: present.length });
  }

  private applyRecords(records: readonly KeyedRecord[]): void {
    const { registry, codec, logger } = this.options;
    records.forEach((record) => {
      const change = codec.decodeRegistryChange(record);
      if (!registry.apply(change)) return;
      if (change.kind === 'absent') logger.info('upstream removed', { ...change });
      else {
        const { upstreamId, draining, coldRemainingMs, address } = change.upstream;
        logger.info('upstream changed', { upstreamId, draining, coldRemainingMs, address });
      }
    });
    registry.expireRemovals();
  }
}
