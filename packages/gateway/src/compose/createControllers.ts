import { randomBytes, randomUUID } from 'node:crypto';
import { ConditionalLease, pickByRendezvous, toId } from '@goldcrestscale/core';
import type { BootId } from '@goldcrestscale/core';
import { FIRST_START_MS, FOLLOWER_TIMEOUT_MS } from '../constants.js';
import { BlockStoresController } from '../controllers/blockStoresController.js';
import { EntriesController } from '../controllers/entriesController.js';
import { LogLeaseStream } from '../controllers/logLeaseStream.js';
import { OperatorsController } from '../controllers/operatorsController.js';
import { RolloutController } from '../controllers/rolloutController.js';
import type { TopicReader } from '../controllers/topicReader.js';
import { GatewayUpstreamsController } from '../controllers/upstreamsController.js';
import type { GatewayOptions } from '../gatewayOptions.js';
import { FeedClient } from '../mesh/feedClient.js';
import type { RelayedBatch, RelayedBlocks } from '../mesh/feedMessage.js';
import { FeedServer } from '../mesh/feedServer.js';
import { Gossip } from '../mesh/gossip.js';
import type { LogTopic } from '../ports/index.js';
import type { Knowledge } from './createKnowledge.js';

/** Time by which the holder of a lease stops before its end, in milliseconds. */
const LEASE_MARGIN_MS = 400;

/** Length of the key that proves this VM's messages to the others. */
const MESH_KEY_BYTES = 24;

/** Where readers publish what they have read by themselves. */
interface ReaderOutput {
  readonly onChange: () => void;
  readonly onBatch: (batch: RelayedBatch) => void;
  readonly onBlockChanges: (blocks: RelayedBlocks) => void;
}

/** Creates the controllers that follow the log and the stores. */
const createReaders = (
  { settings, logger, log, codec, upstreams: protocol }: GatewayOptions,
  { roster, registry, blocks, relays }: Knowledge,
  { onBatch, onBlockChanges, onChange }: ReaderOutput,
  onDeployment: () => void,
) => {
  const startedAtMs = performance.now();
  const operators: OperatorsController = new OperatorsController({
    log,
    codec,
    logger: logger.createPart('operators'),
    onDeployment() {
      blocks.replaceStores(operators.state.view?.deployment.blockStores ?? []);
      onDeployment();
    },
    onChange,
    isRelay: () => relays.isSelf,
    onBatch,
  });
  const upstreams = new GatewayUpstreamsController({
    log,
    codec,
    logger: logger.createPart('upstreams'),
    registry,
    onBatch,
  });
  const stores = new BlockStoresController({
    blocks,
    protocol,
    logger: logger.createPart('stores'),
    horizon: operators.horizon,
    isReleaseOwner(address) {
      const readers = relays.isNeeded ? relays.listAll() : roster.listServing();
      const vmIds = readers.map(({ vmId }) => vmId);
      return pickByRendezvous(address, vmIds) === settings.vmId;
    },
    isDirectReader() {
      // A store bears few readers: a new fleet asks none before it knows its relays.
      const isUnknown = settings.isFirstStart && performance.now() - startedAtMs < FIRST_START_MS;
      return relays.isNeeded ? relays.isSelf : !isUnknown;
    },
    onBlockChanges,
  });
  return { operators, upstreams, stores };
};

/** What the mesh tells of, and whom it tells what the others say. */
interface MeshSources {
  readonly readers: ReturnType<typeof createReaders>;
  readonly entries: EntriesController;
  readonly rollout: RolloutController;
}

/** Creates what tells the other VMs, and hears them. */
const createMesh = (
  { settings, logger: root }: GatewayOptions,
  { roster, registry, peerLoads, sent, relays }: Knowledge,
  key: string,
  { readers, entries, rollout }: MeshSources,
) => {
  const logger = root.createPart('mesh');
  const common = {
    self: settings.vmId,
    address: settings.listen.mesh,
    key,
    roster,
    relays,
    logger,
  };
  const gossip = new Gossip({
    ...common,
    zone: settings.availabilityZone,
    registry,
    peerLoads,
    sent,
    listLoading: () => rollout.listLoading(),
  });
  const topicReaders: Partial<Record<LogTopic, TopicReader>> = {
    operators: readers.operators.reader,
    upstreams: readers.upstreams.reader,
    entries: entries.reader,
  };
  const feedServer = new FeedServer({
    ...common,
    listPositions: () =>
      Object.values(topicReaders).flatMap((reader) => reader.getOwnPosition() ?? []),
    listBlockSnapshots: () => readers.stores.listSnapshots(),
    isAlive: (vmId) => gossip.hasReportFrom(vmId, FOLLOWER_TIMEOUT_MS),
  });
  const feedClient = new FeedClient({
    ...common,
    onBatch: (batch) => topicReaders[batch.topic]?.applyRelayed(batch),
    onPosition: (position, requestedAt) =>
      topicReaders[position.topic]?.recordRelayPosition(position, requestedAt),
    onBlockChanges: (blocks) => readers.stores.applyRelayed(blocks),
    onRelayLost: () => entries.publishHeartbeat(),
  });
  return { gossip, feedServer, feedClient };
};

type Mesh = ReturnType<typeof createMesh>;

/** Creates the controllers; `onDeployment` is called with each new configuration. */
export const createControllers = (
  options: GatewayOptions,
  knowledge: Knowledge,
  onDeployment: () => void,
) => {
  const { settings, logger, log, upstreams: protocol } = options;
  const { roster, registry } = knowledge;
  const bootId = toId<BootId>(randomUUID());
  const meshKey = randomBytes(MESH_KEY_BYTES).toString('base64');
  /* eslint-disable @typescript-eslint/no-use-before-define -- called later */
  const output: ReaderOutput = {
    onChange: () => rollout.check(),
    onBatch: (batch) => mesh.feedServer.publish({ kind: 'batch', batch }),
    onBlockChanges: (blocks) => mesh.feedServer.publish({ kind: 'blocks', blocks }),
  };
  const readers = createReaders(options, knowledge, output, onDeployment);
  const rollout: RolloutController = new RolloutController({
    self: settings.vmId,
    holder: settings.vmId,
    lease: new ConditionalLease({
      holder: `${settings.vmId}/${bootId}`,
      stream: new LogLeaseStream(log),
      durationMs: settings.leaseMs,
      marginMs: LEASE_MARGIN_MS,
    }),
    registry,
    operators: readers.operators.state,
    roster,
    protocol,
    logger: logger.createPart('rollout'),
    onLoadingChange: () => mesh.gossip.send(),
  });
  const entries = new EntriesController({
    log,
    logger: logger.createPart('entries'),
    settings,
    bootId,
    roster,
    meshKey,
    onBatch: output.onBatch,
    forwardHeartbeat: (record) => mesh.feedClient.forwardHeartbeat(record),
    listForwardedHeartbeats: () => mesh.feedServer.listFollowerHeartbeats(),
  });
  const mesh: Mesh = createMesh(options, knowledge, meshKey, { readers, entries, rollout });
  /* eslint-enable @typescript-eslint/no-use-before-define */
  return { ...readers, ...mesh, bootId, rollout, entries };
};

export type Controllers = ReturnType<typeof createControllers>;
