import type { RegisteredUpstream, UpstreamRegistry } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { UPSTREAM_READ_MS } from '../constants.js';
import type { KeyedRecord, RecordCodec, SharedLog } from '../ports/index.js';
import type { RelayedBatch } from '../mesh/feedMessage.js';
import { TopicReader } from './topicReader.js';

/** What the controller is built from. */
export interface GatewayUpstreamsOptions {
  readonly log: SharedLog;
  readonly codec: RecordCodec;
  readonly logger: Logger;
  readonly registry: UpstreamRegistry;
  readonly onBatch: (batch: RelayedBatch) => void;
}

/** Follows the registry of upstreams. */
export class GatewayUpstreamsController {
  readonly reader: TopicReader;

  constructor(private readonly options: GatewayUpstreamsOptions) {
    const { registry } = options;
    this.reader = new TopicReader({
      log: options.log,
      topic: 'upstreams',
      logger: options.logger,
      // Each heartbeat is a record: a read that waits for one would be answered at once.
      getWaitMs: () => 0,
      getPauseMs: () => UPSTREAM_READ_MS,
      onSnapshot: (records) => this.applySnapshot(records),
      onRecords: (records) => this.applyRecords(records),
      onReturn: () => registry.noteLogReturn(),
      onBatch: options.onBatch,
    });
  }

  /** Whether the registry has been read since the start. */
  get hasRead(): boolean {
    return this.reader.hasRead;
  }

  run(signal: AbortSignal): Promise<void> {
    return this.reader.run(signal);
  }

  private applySnapshot(records: readonly KeyedRecord[]): void {
    const present: RegisteredUpstream[] = [];
    records.forEach((record) => {
      const change = this.options.codec.decodeUpstream(record);
      if (change.kind === 'present') present.push(change.upstream);
    });
    this.options.registry.replaceAll(present);
    this.options.logger.info('upstreams read', { upstreams: present.length });
  }

  private applyRecords(records: readonly KeyedRecord[]): void {
    const { registry, codec, logger } = this.options;
    records.forEach((record) => {
      const change = codec.decodeUpstream(record);
      if (!registry.apply(change)) return;
      if (change.kind === 'absent') logger.info('upstream gone', { ...change });
      else {
        const { upstreamId, draining, coldRemainingMs, address } = change.upstream;
        logger.info('upstream changed', { upstreamId, draining, coldRemainingMs, address });
      }
    });
    registry.expireRemovals();
  }
}
