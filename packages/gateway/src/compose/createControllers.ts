import { randomBytes, randomUUID } from 'node:crypto';
import { ConditionalLease, pickByRendezvous, toId } from '@goldcrestscale/core';
import type { BootId, OperatorState } from '@goldcrestscale/core';
import type { ByteBudget, PauseMonitor, SocketShare } from '@goldcrestscale/runtime';
import { FIRST_START_DISCOVERY_MS, FOLLOWER_TIMEOUT_MS } from '../constants.js';
import { BlockStoresController } from '../controllers/blockStoresController.js';
import { EntriesController } from '../controllers/entriesController.js';
import type { EntriesOptions } from '../controllers/entriesController.js';
import { LogLeaseStream } from '../controllers/logLeaseStream.js';
import { ReachProbe } from '../controllers/reachProbe.js';
import { OperatorsController } from '../controllers/operatorsController.js';
import { RolloutController } from '../controllers/rolloutController.js';
import { StreamRecordsController } from '../controllers/streamRecordsController.js';
import type { TopicReader } from '../controllers/topicReader.js';
import { GatewayUpstreamsController } from '../controllers/upstreamsController.js';
import type { FaultRecorder } from '../faultRecorder.js';
import type { GatewayOptions } from '../gatewayOptions.js';
import { FeedClient } from '../mesh/feedClient.js';
import type { RelayedBatch, RelayedBlocks } from '../mesh/feedMessage.js';
import { FeedServer } from '../mesh/feedServer.js';
import { Gossip } from '../mesh/gossip.js';
import { PeerPaths } from '../mesh/peerPaths.js';
import type { PeerPathsOptions } from '../mesh/peerPaths.js';
import { TunnelServer } from '../mesh/tunnelServer.js';
import type { KeyedRecord, LogTopic } from '../ports/index.js';
import type { FleetState } from './createFleetState.js';
import { createUtilizationReader } from './createUtilizationReader.js';

/** The holder of a lease stops using it this long before it expires. */
const LEASE_MARGIN_MS = 400;

/** Length of the key that authenticates this VM's messages. */
const MESH_KEY_BYTES = 24;

/** Memory for the connections of the mesh, relative to what is buffered for callers. */
const MESH_MEMORY_FRACTION = 0.2;

/** Callbacks for what the readers read. */
interface ReaderCallbacks {
  readonly onChange: () => void;
  readonly onVersions: (hasNewVersion: boolean) => void;
  readonly onBatch: (batch: RelayedBatch) => void;
  readonly onBlockChanges: (blocks: RelayedBlocks) => void;
}

/** Creates the controllers that follow the log and the block stores. */
const createReaders = (
  { settings, logger, log, codec, upstreamProtocol: protocol }: GatewayOptions,
  { roster, registry, blocks, relays, versions, readPhase }: FleetState,
  { onBatch, onBlockChanges, onChange, onVersions }: ReaderCallbacks,
  faults: FaultRecorder,
  onDeployment: () => void,
) => {
  const startedAtMs = performance.now();
  const operators: OperatorsController = new OperatorsController({
    log,
    codec,
    logger: logger.createPartLogger('operators'),
    isFleetStart: settings.isFirstStart,
    onDeployment() {
      blocks.updateStores(operators.state.view?.deployment.blockStores ?? []);
      onDeployment();
    },
    onChange,
    isRelay: () => relays.isFeedRelay,
    faults,
    readPhase,
    onBatch,
  });
  const upstreams = new GatewayUpstreamsController({
    log,
    codec,
    logger: logger.createPartLogger('upstreams'),
    registry,
    versions,
    onVersions,
    faults,
    readPhase,
    onBatch,
  });
  const stores = new BlockStoresController({
    blocks,
    protocol,
    logger: logger.createPartLogger('stores'),
    fetchWindow: operators.fetchWindow,
    isReleaseOwner(address) {
      const relayed = relays.listAllFeeds();
      const readers = relayed.length > 0 ? relayed : roster.listServing();
      const vmIds = readers.map(({ vmId }) => vmId);
      return pickByRendezvous(address, vmIds) === settings.vmId;
    },
    isDirectReader() {
      // A store can serve only a few readers, so a new fleet reads none until its relays are known.
      const isDiscovering =
        settings.isFirstStart && performance.now() - startedAtMs < FIRST_START_DISCOVERY_MS;
      return relays.listOwnFeed().length > 0 ? relays.isFeedRelay : !isDiscovering;
    },
    onBlockChanges,
  });
  return { operators, upstreams, stores };
};

/** What is known about this process. */
export interface ProcessState {
  readonly pauseMonitor: PauseMonitor;
  readonly faults: FaultRecorder;
  /** Sockets to upstreams. */
  readonly upstreamShare: SocketShare;
  /** Whether this VM shuts down. */
  readonly isLeaving: () => boolean;
  /** Memory for what is held for callers. */
  readonly budget: ByteBudget;
  /** Sockets of callers. */
  readonly callerSockets: SocketShare;
}

/** The sources and the receivers of the messages of the mesh. */
interface MeshDependencies extends ProcessState {
  readonly readers: ReturnType<typeof createReaders>;
  readonly entries: EntriesController;
  readonly rollout: RolloutController;
  readonly streamRecords: StreamRecordsController;
}

/** Creates both ends of the connections to upstreams that lead through another VM. */
const createTunnels = (
  fleetState: FleetState,
  options: Pick<PeerPathsOptions, 'self' | 'key'> &
    Pick<ProcessState, 'upstreamShare' | 'isLeaving'> &
    Pick<GatewayOptions, 'metrics'>,
): { readonly tunnels: TunnelServer; readonly paths: PeerPaths } => ({
  tunnels: new TunnelServer({ ...fleetState, ...options, share: options.upstreamShare }),
  paths: new PeerPaths({
    ...fleetState,
    ...options,
    onTunnelOpen: () => fleetState.reach.recordTunnel(),
  }),
});

/** Creates the components that communicate with the other VMs. */
const createMesh = (
  { settings, logger: baseLogger, metrics }: GatewayOptions,
  fleetState: FleetState,
  key: string,
  dependencies: MeshDependencies,
) => {
  const { readers, entries, rollout, streamRecords, pauseMonitor, faults } = dependencies;
  const logger = baseLogger.createPartLogger('mesh');
  const commonOptions = {
    self: settings.vmId,
    address: settings.listen.mesh,
    key,
    roster: fleetState.roster,
    relays: fleetState.relays,
    logger,
    faults,
  };
  const gossip = new Gossip({
    ...fleetState,
    ...commonOptions,
    listLoading: () => rollout.listLoading(),
    hasReadFor: (durationMs) => pauseMonitor.hasReadFor(durationMs),
  });
  const topicReaders: Partial<Record<LogTopic, TopicReader>> = {
    operators: readers.operators.reader,
    upstreams: readers.upstreams.reader,
    entries: entries.reader,
  };
  const { tunnels, paths } = createTunnels(fleetState, {
    ...commonOptions,
    ...dependencies,
    metrics,
  });
  const feedServer = new FeedServer({
    ...commonOptions,
    metrics,
    memoryBytes: settings.bufferBytes * MESH_MEMORY_FRACTION,
    linkMbps: settings.linkMbps,
    listPositions: () =>
      Object.values(topicReaders).flatMap((reader) => reader.getOwnPosition() ?? []),
    listStores: () => readers.stores.listRead(),
    scanBlocks: (address) => readers.stores.scanStore(address),
    onStreamRecord: (record) => streamRecords.relayRecord(record),
    onTunnel: (socket, upstreamId) => tunnels.accept(socket, upstreamId),
    isAlive: (vmId) => gossip.hasReportFrom(vmId, FOLLOWER_TIMEOUT_MS),
  });
  const feedClient = new FeedClient({
    ...commonOptions,
    onBatch: (batch) => topicReaders[batch.topic]?.applyRelayed(batch),
    onPosition: (position, requestedAt) =>
      topicReaders[position.topic]?.recordRelayPosition(position, requestedAt),
    onBlockChanges: (blocks) => readers.stores.applyRelayed(blocks),
    onRelayLost() {
      entries.publishHeartbeat();
      streamRecords.rewrite();
    },
    canReadLog: () => Object.values(topicReaders).some((reader) => reader.isReading),
  });
  return { gossip, feedServer, feedClient, tunnels, paths };
};

type Mesh = ReturnType<typeof createMesh>;

const createStreamRecords = (
  { settings, log, logger }: GatewayOptions,
  { begunStreams: streams, versions }: FleetState,
  faults: FaultRecorder,
  forwardRecord: (record: KeyedRecord) => boolean,
): StreamRecordsController =>
  new StreamRecordsController({
    self: settings.vmId,
    log,
    logger: logger.createPartLogger('streams'),
    faults,
    streams,
    versions,
    forwardRecord,
  });

const createRollout = (
  { settings, log, logger, upstreamProtocol: protocol }: GatewayOptions,
  fleetState: FleetState,
  operators: OperatorState,
  { bootId, onLoadingChange }: { readonly bootId: BootId; readonly onLoadingChange: () => void },
): RolloutController =>
  new RolloutController({
    self: settings.vmId,
    holder: settings.vmId,
    lease: new ConditionalLease({
      holder: `${settings.vmId}/${bootId}`,
      stream: new LogLeaseStream(log),
      durationMs: settings.leaseMs,
      marginMs: LEASE_MARGIN_MS,
    }),
    ...fleetState,
    operators,
    protocol,
    logger: logger.createPartLogger('rollout'),
    onLoadingChange,
  });

/** Creates the controller of this VM's heartbeats and of the directory. */
const createEntries = (
  { settings, logger, log, metrics }: GatewayOptions,
  fleetState: FleetState,
  { budget, callerSockets, faults }: ProcessState,
  callbacks: Pick<
    EntriesOptions,
    | 'bootId'
    | 'meshKey'
    | 'onNewEra'
    | 'canServe'
    | 'onBatch'
    | 'forwardHeartbeat'
    | 'listForwardedHeartbeats'
  >,
): EntriesController =>
  new EntriesController({
    ...fleetState,
    ...callbacks,
    log,
    logger: logger.createPartLogger('entries'),
    settings,
    faults,
    isReportingRefusals: () =>
      fleetState.relays.listOwnFeed().length === 0 || fleetState.relays.isFeedRelay,
    readUtilization: createUtilizationReader(budget, callerSockets),
    onShareChange: (share) => metrics.setCallerShare(share),
  });

/** Creates the controllers; `onDeployment` is called on each new configuration. */
export const createControllers = (
  options: GatewayOptions,
  fleetState: FleetState,
  processState: ProcessState,
  onDeployment: () => void,
) => {
  const bootId = toId<BootId>(randomUUID());
  const meshKey = randomBytes(MESH_KEY_BYTES).toString('base64');
  /* eslint-disable @typescript-eslint/no-use-before-define -- called later */
  const callbacks: ReaderCallbacks = {
    onChange: () => rollout.check(),
    onVersions(hasNewVersion) {
      if (hasNewVersion) entries.publishHeartbeat();
      else entries.checkReady();
      streamRecords.checkVersions();
    },
    onBatch: (batch) => mesh.feedServer.publish({ kind: 'batch', batch }),
    onBlockChanges: (blocks) => mesh.feedServer.publish({ kind: 'blocks', blocks }),
  };
  const { faults } = processState;
  const readers = createReaders(options, fleetState, callbacks, faults, () => {
    entries.checkReady();
    onDeployment();
  });
  const canServe = (): boolean => !!readers.operators.state.view && readers.upstreams.hasListed;
  const rollout: RolloutController = createRollout(options, fleetState, readers.operators.state, {
    bootId,
    onLoadingChange: () => mesh.gossip.send(),
  });
  const streamRecords = createStreamRecords(options, fleetState, faults, (record) =>
    mesh.feedClient.forwardStreams(record),
  );
  const entries = createEntries(options, fleetState, processState, {
    bootId,
    meshKey,
    onNewEra: () => streamRecords.rewrite(),
    canServe,
    onBatch: callbacks.onBatch,
    forwardHeartbeat: (record) => mesh.feedClient.forwardHeartbeat(record),
    listForwardedHeartbeats: () => mesh.feedServer.listFollowerHeartbeats(),
  });
  const mesh: Mesh = createMesh(options, fleetState, meshKey, {
    readers,
    entries,
    rollout,
    streamRecords,
    ...processState,
  });
  /* eslint-enable @typescript-eslint/no-use-before-define */
  const reachProbe = new ReachProbe(fleetState);
  return { ...readers, ...mesh, reachProbe, bootId, rollout, entries, streamRecords, canServe };
};

export type Controllers = ReturnType<typeof createControllers>;
