import {
  MAX_CLOCK_SKEW_MS,
  CONFIG_STREAM,
  CappedEjectionPolicy,
  LogReports,
  createAppendBudget,
  createRandomGenerator,
  toId,
} from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  ConfigTable,
  DesiredWeights,
  EngineReport,
  StreamName,
} from '@goldcrestscale/core';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { createHttpLogStream, createVmListClient } from '@goldcrestscale/platform';
import type { Logger } from '@goldcrestscale/runtime';
import type { EntrySettings } from '../config.js';
import type { Controller } from '../controllers/controller.js';
import { MembershipController } from '../controllers/membership/index.js';
import { createIdempotencyController } from '../controllers/idempotency/index.js';
import type { IdempotencyController } from '../controllers/idempotency/index.js';
import { HttpLoadOrderSender, LoadOrdersController } from '../controllers/loadOrders/index.js';
import { SlotsController } from '../controllers/slots/index.js';
import {
  createConfigTableController,
  createTableGossip,
} from '../controllers/configTable/index.js';
import type {
  ConfigTableController,
  ConfigTableControllerOptions,
  TableGossip,
} from '../controllers/configTable/index.js';
import { PrefixIndexController } from '../controllers/prefixIndex/index.js';
import { TieringController } from '../controllers/tiering/index.js';
import { UpstreamsController } from '../controllers/upstreams/upstreamsController.js';
import { UsageController } from '../controllers/usage/index.js';
import type { PeerTransport } from '../mesh/index.js';

/** Log stream that stores the leases. */
const LEASE_STREAM_NAME = toId<StreamName>('leases');

/** Dependencies of the controllers. */
export interface ControllersOptions {
  readonly settings: EntrySettings;
  readonly logger: Logger;
  readonly transport: PeerTransport;
}

/** The controllers of the entry daemon. */
export interface Controllers {
  readonly table: ConfigTableController;
  readonly tableGossip: TableGossip;
  readonly membership: MembershipController;
  readonly upstreams: UpstreamsController;
  readonly idempotency: IdempotencyController;
  readonly usage: UsageController;
  readonly slots: SlotsController;
  readonly orders: LoadOrdersController;
  readonly prefixIndex: PrefixIndexController;
  readonly tiering: TieringController;
}

const listZonesOut = (table: ConfigTable): ReadonlySet<AvailabilityZoneId> =>
  new Set(
    table
      .listRows('zone')
      .filter((zone) => zone.state === 'out')
      .map((zone) => zone.id),
  );

/** Lists the weights that the table specifies for each engine whose model it contains. */
const listDesiredWeights = (
  table: ConfigTable,
  engines: readonly EngineReport[],
): readonly DesiredWeights[] =>
  engines.flatMap(({ upstreamId, model }) => {
    const row = model === undefined ? undefined : table.getModel(model);
    return row ? [{ upstreamId, model: row.id, version: row.version }] : [];
  });

const createCacheControllers = (
  table: ConfigTableController,
  membership: MembershipController,
): Pick<Controllers, 'prefixIndex' | 'tiering'> => {
  const listVms = () => membership.listVms();
  const tiering = new TieringController({
    listVms,
    isZoneOut: (zone) => table.table.isZoneOut(zone),
    random: createRandomGenerator(),
  });
  const prefixIndex = new PrefixIndexController({
    listVms,
    onCacheLost: (upstreamId) => tiering.planner.removeUpstream(upstreamId),
  });
  return { prefixIndex, tiering };
};

/** Creates the controllers that rely on leases. */
const createLeaseControllers = (
  settings: EntrySettings,
  transport: PeerTransport,
  { table, membership, upstreams }: Pick<Controllers, 'table' | 'membership' | 'upstreams'>,
): Pick<Controllers, 'slots' | 'orders'> => {
  const slots = new SlotsController({
    self: transport.self,
    fleet: {
      link: transport,
      leaseStream: createHttpLogStream(settings.platform.logUrl, LEASE_STREAM_NAME),
      listLive: () => membership.listActiveVms(),
      listEntryVms: () => membership.listEntryVms(),
    },
  });
  const orders = new LoadOrdersController({
    leases: slots.leases,
    sender: new HttpLoadOrderSender((upstreamId) => upstreams.findAddress(upstreamId)),
    listDesiredWeights: () => listDesiredWeights(table.table, upstreams.listEngineReports()),
    listEngineReports: () => upstreams.listEngineReports(),
    loadsPerMinute: settings.platform.weightLoadsPerMinute,
  });
  return { slots, orders };
};

/** Creates the hooks that record log reads and log when the shared log fails and recovers. */
const createLogReadHooks = (
  reports: LogReports,
  logger: Logger,
): Pick<ConfigTableControllerOptions, 'onRead' | 'onReadFailure'> => {
  let isUnavailable = false;
  return {
    onRead(headOffset, startedAtMs) {
      if (isUnavailable) logger.info('shared log available again', { headOffset });
      isUnavailable = false;
      reports.recordRead(headOffset, startedAtMs);
    },
    onReadFailure() {
      if (!isUnavailable) logger.warn('shared log unavailable');
      isUnavailable = true;
      reports.recordFailure();
    },
  };
};

export const createControllers = ({
  settings,
  logger,
  transport,
}: ControllersOptions): Controllers => {
  const { platform } = settings;
  const generator = createRandomGenerator();
  const openStream = (name: StreamName) => createHttpLogStream(platform.logUrl, name);
  const logReports = new LogReports();
  const vmListLogger = logger.createPartLogger('vmList');
  const vmListClient = createVmListClient(platform.vmListUrl, {
    onInvalidEntry: (problems) => vmListLogger.warn('ignoring invalid entry', { problems }),
  });
  const table = createConfigTableController({
    stream: openStream(CONFIG_STREAM),
    retentionMs: platform.logRetentionMs,
    generator,
    ...createLogReadHooks(logReports, logger.createPartLogger('log')),
  });
  const membership = new MembershipController({
    link: transport,
    vmList: { list: (signal) => vmListClient.listVms(signal) },
    logReports,
    getZonesOut: () => listZonesOut(table.table),
    getAppliedOffset: () => table.offset,
    onPeerLogHead: (headOffset) => table.handleOffsetHint(headOffset),
    random: () => uniformFloat64(generator),
  });
  const upstreams = new UpstreamsController({
    table: (): ConfigTable => table.table,
    listVms: () => membership.listVms(),
    ejection: new CappedEjectionPolicy(generator),
    logger: logger.createPartLogger('upstreams'),
  });
  const idempotency = createIdempotencyController({
    link: transport,
    shardCount: settings.once.shardCount,
    openStream,
    generator,
    listEntryVms: () => membership.listLiveVms(),
    window: { windowMs: settings.once.windowMs, maxClockSkewMs: MAX_CLOCK_SKEW_MS },
    budget: createAppendBudget(settings.once.appendsPerSecond),
  });
  const usage = new UsageController({
    link: transport,
    listEntryVms: () => membership.listLiveVms(),
    countCapacity: (poolId) => upstreams.countCapacity(poolId),
    listInFlight: () => upstreams.listInFlight(),
  });
  upstreams.setPeerInFlightSource(usage);
  const tableGossip = createTableGossip({ table, link: transport, generator });
  const { slots, orders } = createLeaseControllers(settings, transport, {
    table,
    membership,
    upstreams,
  });
  const cache = createCacheControllers(table, membership);
  return { table, tableGossip, membership, upstreams, idempotency, usage, slots, orders, ...cache };
};

/** Lists the controllers in the order in which they start. */
export const listControllers = (controllers: Controllers): readonly Controller[] => [
  controllers.table,
  controllers.membership,
  controllers.upstreams,
  controllers.idempotency,
  controllers.usage,
  controllers.slots,
  controllers.orders,
  controllers.prefixIndex,
  controllers.tiering,
];

/** Starts controllers sequentially. */
export const startControllers = async (
  controllers: readonly Controller[],
  signal: AbortSignal,
): Promise<void> => {
  for (const controller of controllers) await controller.start(signal);
};
