import {
  CrashQuarantine,
  EntryRoster,
  PeerLoads,
  UpstreamRegistry,
  VersionsInUse,
  readClocks,
  toId,
} from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  BootId,
  OperatorChange,
  RegistryChange,
  UpstreamId,
} from '@goldcrestscale/core';
import { setMaxListeners } from 'node:events';
import { createLogger } from '@goldcrestscale/runtime';
import { resolveGatewaySettings } from '../config.js';
import { FEED_BATCH_DELAY_MS, POSITION_POLL_INTERVAL_MS } from '../constants.js';
import { EntriesController } from '../controllers/entriesController.js';
import { OperatorsController } from '../controllers/operatorsController.js';
import { GatewayUpstreamsController } from '../controllers/upstreamsController.js';
import type { TopicReader } from '../controllers/topicReader.js';
import type { RelayedBatch } from '../mesh/feedMessage.js';
import { createTestFaults } from './testFaults.js';
import { buildTestUpstream } from './testUpstream.js';
import { RecordCodec } from '../ports/index.js';
import type { KeyedRecord, LogTopic } from '../ports/index.js';
import { SimulatedLog, TRANSIT_MS } from './simulatedLog.js';

const logger = createLogger({ part: 'test', level: 'error', format: 'json' });

const RELAYED_TOPICS = ['operators', 'upstreams', 'entries'] as const;

/** A topic whose records relays pass on. */
export type RelayedTopic = (typeof RELAYED_TOPICS)[number];

/** Decodes records that name an upstream that drains, or a zone that is out of service. */
class NamingCodec extends RecordCodec {
  override decodeOperatorChange({ key }: KeyedRecord): OperatorChange {
    return { kind: 'zone-out', zone: toId<AvailabilityZoneId>(key) };
  }

  override decodeRegistryChange({ key, value }: KeyedRecord): RegistryChange {
    const draining = value?.toString() === 'draining';
    return { kind: 'present', upstream: buildTestUpstream(key, { draining }) };
  }
}

/** Builds valid settings of a VM. */
export const buildSettings = (vmId: string) =>
  resolveGatewaySettings({
    vmId,
    availabilityZone: 'z1',
    zones: { z1: 'region' },
    listen: {
      callers: '127.0.0.1:1',
      readiness: '127.0.0.1:2',
      directory: '127.0.0.1:3',
      mesh: '127.0.0.1:4',
    },
    log: { address: '127.0.0.1:5', leaseMs: 3_000 },
    bounds: {
      shutdownSeconds: 8,
      retryRatio: 0.2,
      retryAllowance: 50,
      retryWindowSeconds: 10,
      coldOverrun: 1.5,
      coldSlack: 5,
      weightsInForceMs: 10_000,
      directoryTtlSeconds: 5,
    },
  });

const createVm = (
  vmId: string,
  topics: Map<LogTopic, KeyedRecord[]>,
  onBatch: (batch: RelayedBatch) => void,
) => {
  const log = new SimulatedLog(topics);
  const { faults } = createTestFaults();
  const codec = new NamingCodec();
  const readPhase = Math.random();
  const registry = new UpstreamRegistry(new PeerLoads(1_500));
  const roster = new EntryRoster();
  const versions = new VersionsInUse();
  const operators = new OperatorsController({
    log,
    codec,
    logger,
    isFleetStart: true,
    onDeployment: () => undefined,
    onChange: () => undefined,
    isRelay: () => vmId === 'relay',
    faults,
    readPhase,
    onBatch,
  });
  const upstreams = new GatewayUpstreamsController({
    log,
    codec,
    logger,
    registry,
    versions,
    onVersions: () => undefined,
    faults,
    readPhase,
    onBatch,
  });
  const entries = new EntriesController({
    log,
    logger,
    settings: buildSettings(vmId),
    bootId: toId<BootId>('boot'),
    roster,
    quarantine: new CrashQuarantine(),
    versions,
    onNewEra: () => undefined,
    isReportingRefusals: () => false,
    canServe: () => true,
    readUtilization: () => 0,
    onShareChange: () => undefined,
    meshKey: 'key',
    faults,
    readPhase,
    onBatch,
    forwardHeartbeat: () => true,
    listForwardedHeartbeats: () => [],
  });
  const readers: Readonly<Record<RelayedTopic, TopicReader>> = {
    operators: operators.reader,
    upstreams: upstreams.reader,
    entries: entries.reader,
  };
  const knows: Readonly<Record<RelayedTopic, () => boolean>> = {
    operators: () => operators.state.isZoneOut(toId<AvailabilityZoneId>('fact')),
    upstreams: () => registry.find(toId<UpstreamId>('fact'))?.isLeaving ?? false,
    entries: () => roster.listLive().some((entry) => String(entry.vmId) === 'fact'),
  };
  return { log, readers, knows };
};

type SimulatedVm = ReturnType<typeof createVm>;

const HEARTBEAT = {
  vmId: 'fact',
  bootId: 'boot',
  availabilityZone: 'z1',
  address: '127.0.0.1:1',
  meshAddress: '127.0.0.1:2',
  meshKey: 'key',
  leaving: false,
  size: 1,
};

const FACTS: Readonly<Record<RelayedTopic, KeyedRecord>> = {
  operators: { key: 'fact', value: Buffer.from('{}') },
  upstreams: { key: 'fact', value: Buffer.from('draining') },
  entries: { key: 'fact', value: Buffer.from(JSON.stringify(HEARTBEAT)) },
};

/** One relay and its followers, without sockets, on the clock of the test. */
export const startRelayedFleet = (followerCount: number, phaseMs: number, signal: AbortSignal) => {
  setMaxListeners(0, signal);
  const topics = new Map<LogTopic, KeyedRecord[]>(RELAYED_TOPICS.map((topic) => [topic, []]));
  topics.get('upstreams')!.push({ key: 'fact', value: Buffer.from('ready') });
  const followers: SimulatedVm[] = [];
  let pending: RelayedBatch[] = [];
  const flush = (): void => {
    const batches = pending;
    pending = [];
    setTimeout(() => {
      followers.forEach(({ readers }) =>
        batches.forEach((batch) => readers[batch.topic as RelayedTopic].applyRelayed(batch)),
      );
    }, TRANSIT_MS);
  };
  const relay = createVm('relay', topics, (batch) => {
    pending.push(batch);
    setTimeout(flush, FEED_BATCH_DELAY_MS);
  });
  const askForPositions = ({ readers }: SimulatedVm): void => {
    const requestedAt = readClocks();
    setTimeout(() => {
      flush();
      const positions = RELAYED_TOPICS.flatMap(
        (topic) => relay.readers[topic].getOwnPosition() ?? [],
      );
      setTimeout(() => {
        positions.forEach((position) =>
          readers[position.topic as RelayedTopic].recordRelayPosition(position, requestedAt),
        );
      }, TRANSIT_MS);
    }, TRANSIT_MS);
  };
  for (let index = 0; index < followerCount; index += 1) {
    const follower = createVm(`follower-${index}`, topics, () => undefined);
    followers.push(follower);
    const firstAskMs = (phaseMs + index * 37) % POSITION_POLL_INTERVAL_MS;
    const firstTimer = setTimeout(() => {
      askForPositions(follower);
      const timer = setInterval(() => askForPositions(follower), POSITION_POLL_INTERVAL_MS);
      signal.addEventListener('abort', () => clearInterval(timer));
    }, firstAskMs);
    signal.addEventListener('abort', () => clearTimeout(firstTimer));
  }
  [relay, ...followers].forEach(({ readers }) =>
    RELAYED_TOPICS.forEach((topic) => {
      void readers[topic].run(signal);
    }),
  );
  return {
    relay,
    followers,
    appendFact: (topic: RelayedTopic) => topics.get(topic)!.push(FACTS[topic]),
  };
};
