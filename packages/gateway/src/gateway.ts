import { randomBytes, randomUUID } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import type { Server } from 'node:http';
import {
  BlockDirectory,
  CappedEjection,
  ConditionalLease,
  EntryRoster,
  FleetRetryBudget,
  PeerLoads,
  UpstreamRegistry,
  createGenerator,
  pickByRendezvous,
  sleep,
  toId,
} from '@goldcrestscale/core';
import type { BootId, ServiceName } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import type { GatewaySettings } from './config.js';
import { CONNECTION_SHARE, DIRECTORY_TTL_MS, GOSSIP_MAX_AGE_MS } from './constants.js';
import { BlockStoresController } from './controllers/blockStoresController.js';
import { EntriesController } from './controllers/entriesController.js';
import { LogLeaseStream } from './controllers/logLeaseStream.js';
import { OperatorsController } from './controllers/operatorsController.js';
import { RolloutController } from './controllers/rolloutController.js';
import { Shutdown } from './controllers/shutdown.js';
import { GatewayUpstreamsController } from './controllers/upstreamsController.js';
import { DecisionLog } from './decisionLog.js';
import { ConnectionPool } from './dispatch/connectionPool.js';
import { UpstreamChooser } from './dispatch/upstreamChooser.js';
import { createGatewayFilters } from './filters/index.js';
import { createGatewayServer } from './http/callerServer.js';
import type { GatewayServer } from './http/callerServer.js';
import { createServiceServer } from './http/serviceServer.js';
import type { GatewayMetrics } from './metrics.js';
import { Gossip } from './mesh/gossip.js';
import type { CallerProtocol, RecordCodec, SharedLog, UpstreamProtocol } from './ports/index.js';

/** What the gateway is started with. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly log: SharedLog;
  readonly codec: RecordCodec;
  readonly callers: CallerProtocol;
  readonly upstreams: UpstreamProtocol;
  /** Aborts when the gateway is to shut down. */
  readonly signal: AbortSignal;
}

/** Time by which the holder of a lease stops before its end, in milliseconds. */
const LEASE_MARGIN_MS = 400;

/** Length of the key that proves this VM's datagrams. */
const MESH_KEY_BYTES = 24;

/** Interval at which the end of a shutdown is looked for, in milliseconds. */
const DRAIN_CHECK_MS = 50;

const listen = (server: Server, address: string): Promise<void> =>
  new Promise((resolve, reject) => {
    const split = address.lastIndexOf(':');
    server.once('error', reject);
    server.listen(Number(address.slice(split + 1)), address.slice(0, split), () => {
      server.off('error', reject);
      resolve();
    });
  });

const waitForAbort = (signal: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal.aborted) resolve();
    else signal.addEventListener('abort', () => resolve(), { once: true });
  });

/** Everything that the gateway knows and decides with. */
const createState = (options: GatewayOptions, work: AbortSignal) => {
  const { settings, logger, log, codec, upstreams: protocol } = options;
  const random = createGenerator();
  const roster = new EntryRoster();
  const peerLoads = new PeerLoads(GOSSIP_MAX_AGE_MS);
  const registry = new UpstreamRegistry(peerLoads);
  const blocks = new BlockDirectory();
  const ejection = new CappedEjection(random);
  const bootId = toId<BootId>(randomUUID());
  const limitHooks: (() => void)[] = [];
  const meshKey = randomBytes(MESH_KEY_BYTES).toString('base64');
  const operators: OperatorsController = new OperatorsController({
    log,
    codec,
    logger: logger.createPart('operators'),
    onDeployment() {
      blocks.replaceStores(operators.state.view?.deployment.blockStores ?? []);
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called later
      stores.refresh(work);
      limitHooks.forEach((apply) => apply());
    },
  });
  const stores: BlockStoresController = new BlockStoresController({
    blocks,
    protocol,
    logger: logger.createPart('stores'),
    isInCharge: (address) => {
      const live = roster.listServing().map(({ vmId }) => vmId);
      return pickByRendezvous(address, live) === settings.vmId;
    },
    horizon: operators.horizon,
  });
  const upstreams = new GatewayUpstreamsController({
    log,
    codec,
    logger: logger.createPart('upstreams'),
    registry,
  });
  const lease = new ConditionalLease({
    holder: `${settings.vmId}/${bootId}`,
    stream: new LogLeaseStream(log),
    durationMs: settings.leaseMs,
    marginMs: LEASE_MARGIN_MS,
  });
  const rollout: RolloutController = new RolloutController({
    self: settings.vmId,
    holder: settings.vmId,
    lease,
    registry,
    operators: operators.state,
    roster,
    protocol,
    logger: logger.createPart('rollout'),
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called later
    onLoadingChange: () => gossip.flush(),
  });
  const entries: EntriesController = new EntriesController({
    log,
    logger: logger.createPart('entries'),
    settings,
    bootId,
    roster,
    meshKey,
  });
  const gossip: Gossip = new Gossip({
    self: settings.vmId,
    address: settings.listen.mesh,
    key: meshKey,
    roster,
    registry,
    peerLoads,
    listLoading: () => rollout.listLoading(),
    logger: logger.createPart('mesh'),
  });
  return {
    random,
    gossip,
    roster,
    registry,
    blocks,
    ejection,
    operators,
    upstreams,
    rollout,
    entries,
    limitHooks,
    bootId,
  };
};

type State = ReturnType<typeof createState>;

const createDataPath = (
  options: GatewayOptions,
  state: State,
  shutdown: Shutdown,
  connections: ConnectionPool,
): GatewayServer => {
  const { settings, metrics, callers, logger } = options;
  const { operators, roster, registry, blocks, ejection, random } = state;
  const { bounds } = settings;
  const countVms = (): number => Math.max(1, roster.listSharing().length);
  const getConnectionShare = (service: ServiceName): number => {
    const limit = operators.state.view?.findService(service)?.connectionLimit ?? Infinity;
    return Math.max(1, Math.floor((limit * CONNECTION_SHARE) / countVms()));
  };
  const filters = createGatewayFilters({
    guard: {
      decisions: new DecisionLog(logger.createPart('requests')),
      metrics,
      protocol: callers,
    },
    getView: () => operators.state.view,
    isRefusing: () => shutdown.isRefusing,
    dispatch: {
      chooser: new UpstreamChooser({
        self: settings.vmId,
        bounds,
        regions: settings.regions,
        registry,
        operators: operators.state,
        roster,
        blocks,
        ejection,
        random,
      }),
      connections,
      protocol: options.upstreams,
      retries: new FleetRetryBudget(
        {
          ratio: bounds.retryRatio,
          allowance: bounds.retryAllowance,
          windowMs: bounds.retryWindowMs,
        },
        countVms,
      ),
      ejection,
      blocks,
      horizon: operators.horizon,
      metrics,
      getConnectionShare,
    },
  });
  return createGatewayServer({ protocol: callers, filters, isLeaving: () => shutdown.isLeaving });
};

/** Waits until every request is answered and callers have learned of the leave, or the time is over. */
const drain = async (callers: GatewayServer, shutdown: Shutdown): Promise<void> => {
  while (!shutdown.isOver && !(shutdown.isRefusing && callers.countOpen() === 0)) {
    await sleep(DRAIN_CHECK_MS);
  }
};

/** Runs the gateway until its signal aborts and every request has ended. */
export const runGateway = async (options: GatewayOptions): Promise<void> => {
  const { settings, logger, signal, metrics } = options;
  const work = new AbortController();
  // Every request and controller listens to it for as long as the gateway runs.
  setMaxListeners(0, work.signal, signal);
  const shutdown = new Shutdown(settings.bounds.shutdownMs);
  const state = createState(options, work.signal);
  const connections = new ConnectionPool(() => metrics.countConnection());
  const callers = createDataPath(options, state, shutdown, connections);
  state.limitHooks.push(() => {
    const limits = state.operators.state.view?.deployment.callerLimits;
    if (limits) callers.applyLimits(limits);
  });
  const isReady = (): boolean =>
    !shutdown.isLeaving && !!state.operators.state.view && state.upstreams.hasRead;
  const service = createServiceServer({
    protocol: options.callers,
    isReady,
    listAddresses: () => state.entries.listAddresses(),
    ttlMs: Math.min(DIRECTORY_TTL_MS, settings.bounds.directoryTtlMs),
    renderMetrics: () => metrics.render(),
  });
  const readiness = createServiceServer({
    protocol: options.callers,
    isReady,
    listAddresses: () => [],
    ttlMs: 0,
    renderMetrics: () => metrics.render(),
  });
  await Promise.all([
    listen(callers.server, settings.listen.callers),
    listen(service, settings.listen.directory),
    listen(readiness, settings.listen.readiness),
  ]);
  await state.gossip.start(work.signal);
  logger.info('started', { vmId: settings.vmId, bootId: state.bootId });
  void state.operators.run(work.signal);
  void state.upstreams.run(work.signal);
  void state.entries.run(work.signal);
  void state.rollout.run(work.signal);
  await waitForAbort(signal);
  logger.info('draining', { openRequests: callers.countOpen() });
  shutdown.start();
  state.entries.leave();
  await drain(callers, shutdown);
  work.abort();
  connections.close();
  options.upstreams.close();
  options.log.close();
  [callers.server, service, readiness].forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
  logger.info('stopped');
};
