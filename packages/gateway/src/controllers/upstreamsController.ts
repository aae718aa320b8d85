import type {
  RegisteredUpstream,
  RegisteredVersion,
  RegistryChange,
  UpstreamRegistry,
  VersionsInUse,
} from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { UPSTREAM_READ_INTERVAL_MS } from '../constants.js';
import type { KeyedRecord, RecordCodec, SharedLog } from '../ports/index.js';
import type { FaultRecorder } from '../faultRecorder.js';
import { RequestLog } from '../requestLog.js';
import type { RelayedBatch } from '../mesh/feedMessage.js';
import { applyRecords } from './applyRecords.js';
import { UPSTREAM_FACT_TIMING } from './factTiming.js';
import { TopicReader } from './topicReader.js';

/** Dependencies of the controller. */
export interface GatewayUpstreamsOptions {
  readonly log: SharedLog;
  readonly codec: RecordCodec;
  readonly logger: Logger;
  readonly registry: UpstreamRegistry;
  readonly versions: VersionsInUse;
  /** Called after changes of the registry have been applied. */
  readonly onVersions: (hasNewVersion: boolean) => void;
  readonly faults: FaultRecorder;
  /** When this VM begins to read among the followers of a relay, in [0, 1). */
  readonly readPhase: number;
  readonly onBatch: (batch: RelayedBatch) => void;
}

const listVersion = (upstream: RegisteredUpstream): readonly RegisteredVersion[] => {
  const { service, softwareVersion: version } = upstream;
  return version === undefined ? [] : [{ service, version }];
};

/** Keeps the upstream registry in sync with its topic of the log. */
export class GatewayUpstreamsController {
  readonly reader: TopicReader;

  /** Bounds the number of lines about entries of other writers. */
  private readonly entryLog: RequestLog;

  private hasListedUpstream = false;

  constructor(private readonly options: GatewayUpstreamsOptions) {
    const { registry } = options;
    this.entryLog = new RequestLog(options.logger);
    this.reader = new TopicReader({
      log: options.log,
      topic: 'upstreams',
      logger: options.logger,
      // Each heartbeat is a record, so a long poll would return at once.
      getLongPollMs: () => 0,
      getPauseMs: () => UPSTREAM_READ_INTERVAL_MS,
      timing: UPSTREAM_FACT_TIMING,
      readPhase: options.readPhase,
      onSnapshot: (records) => this.applySnapshot(records),
      onRecords: (records) => this.applyRecords(records),
      onRecovery: () => registry.recordLogRecovery(),
      onNewEra: () => registry.recordLogRecovery(),
      onBatch: options.onBatch,
    });
  }

  /** Whether the registry has listed an upstream since the start; without one, no caller can be served. */
  get hasListed(): boolean {
    return this.hasListedUpstream;
  }

  run(signal: AbortSignal): Promise<void> {
    return this.reader.run(signal);
  }

  private applySnapshot(records: readonly KeyedRecord[]): void {
    const changes = applyRecords('upstreams', records, this.options.faults, (record) =>
      this.decode(record),
    );
    const present = changes.flatMap((change) =>
      change.kind === 'present' ? [change.upstream] : [],
    );
    this.options.registry.replaceAll(present);
    this.logIgnored();
    this.recordVersions(changes);
    this.options.logger.info('upstream registry loaded', { upstreams: present.length });
  }

  private applyRecords(records: readonly KeyedRecord[]): void {
    const { registry, faults } = this.options;
    const changes = applyRecords('upstreams', records, faults, (record) => {
      const change = this.decode(record);
      if (!registry.apply(change)) return change;
      if (change.kind === 'absent') this.entryLog.log('upstream removed', { ...change });
      else {
        const { upstreamId, draining, coldRemainingMs, address, softwareVersion } = change.upstream;
        const version = softwareVersion;
        this.entryLog.log('upstream changed', {
          upstreamId,
          draining,
          coldRemainingMs,
          address,
          version,
        });
      }
      return change;
    });
    registry.expireRemovals();
    this.logIgnored();
    this.recordVersions(changes);
  }

  private logIgnored(): void {
    const ignored = this.options.registry.takeIgnored();
    if (ignored > 0) this.entryLog.log('registry is full; ignoring upstreams', { ignored });
  }

  /** An upstream may have come and gone within the changes, and begun streams meanwhile. */
  private recordVersions(changes: readonly RegistryChange[]): void {
    const { registry, versions, onVersions } = this.options;
    const upstreams = registry.list();
    this.hasListedUpstream ||= upstreams.length > 0;
    const newVersions = changes
      .flatMap((change) => (change.kind === 'present' ? listVersion(change.upstream) : []))
      .filter(({ service, version }) => versions.recordRegistered(service, version));
    versions.updateListed(upstreams.flatMap(({ registered }) => listVersion(registered)));
    onVersions(newVersions.length > 0);
  }

  private decode(record: KeyedRecord): RegistryChange {
    const change = this.options.codec.decodeRegistryChange(record);
    if (change.kind === 'absent' && change.invalid !== undefined) {
      const { upstreamId, invalid } = change;
      this.entryLog.log('ignoring invalid registry entry', { upstreamId, invalid });
    }
    return change;
  }
}
