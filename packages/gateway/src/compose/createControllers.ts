import { randomBytes, randomUUID } from 'node:crypto';
import { ConditionalLease, pickByRendezvous, toId } from '@goldcrestscale/core';
import type { BootId } from '@goldcrestscale/core';
import { BlockStoresController } from '../controllers/blockStoresController.js';
import { EntriesController } from '../controllers/entriesController.js';
import { LogLeaseStream } from '../controllers/logLeaseStream.js';
import { OperatorsController } from '../controllers/operatorsController.js';
import { RolloutController } from '../controllers/rolloutController.js';
import { GatewayUpstreamsController } from '../controllers/upstreamsController.js';
import type { GatewayOptions } from '../gatewayOptions.js';
import { Gossip } from '../mesh/gossip.js';
import type { Knowledge } from './createKnowledge.js';

/** Time by which the holder of a lease stops before its end, in milliseconds. */
const LEASE_MARGIN_MS = 400;

/** Length of the key that proves this VM's datagrams. */
const MESH_KEY_BYTES = 24;

/** Creates the controllers that follow the log and the stores. */
const createReaders = (
  { settings, logger, log, codec, upstreams: protocol }: GatewayOptions,
  { roster, registry, blocks }: Knowledge,
  onDeployment: () => void,
) => {
  const operators: OperatorsController = new OperatorsController({
    log,
    codec,
    logger: logger.createPart('operators'),
    onDeployment() {
      blocks.replaceStores(operators.state.view?.deployment.blockStores ?? []);
      onDeployment();
    },
  });
  const upstreams = new GatewayUpstreamsController({
    log,
    codec,
    logger: logger.createPart('upstreams'),
    registry,
  });
  const stores = new BlockStoresController({
    blocks,
    protocol,
    logger: logger.createPart('stores'),
    horizon: operators.horizon,
    isInCharge(address) {
      const live = roster.listServing().map(({ vmId }) => vmId);
      return pickByRendezvous(address, live) === settings.vmId;
    },
  });
  return { operators, upstreams, stores };
};

/** Creates the controllers; `onDeployment` is called with each new configuration. */
export const createControllers = (
  options: GatewayOptions,
  knowledge: Knowledge,
  onDeployment: () => void,
) => {
  const { settings, logger, log, upstreams: protocol } = options;
  const { roster, registry, peerLoads, sent } = knowledge;
  const bootId = toId<BootId>(randomUUID());
  const meshKey = randomBytes(MESH_KEY_BYTES).toString('base64');
  const readers = createReaders(options, knowledge, onDeployment);
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
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called later
    onLoadingChange: () => gossip.send(),
  });
  const gossip: Gossip = new Gossip({
    self: settings.vmId,
    address: settings.listen.mesh,
    key: meshKey,
    roster,
    registry,
    peerLoads,
    sent,
    listLoading: () => rollout.listLoading(),
    logger: logger.createPart('mesh'),
  });
  const entries = new EntriesController({
    log,
    logger: logger.createPart('entries'),
    settings,
    bootId,
    roster,
    meshKey,
  });
  return { ...readers, bootId, rollout, gossip, entries };
};

export type Controllers = ReturnType<typeof createControllers>;
