import { randomUUID } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import type { Server } from 'node:http';
import { toId, waitForAbort } from '@goldcrestscale/core';
import type { BootId } from '@goldcrestscale/core';
import {
  ByteBudget,
  EventLoopBarrier,
  PauseMonitor,
  computeBufferBytes,
  createMetricsRegistry,
  listen,
} from '@goldcrestscale/runtime';
import type { ListenAddress, Logger, MetricsRegistry } from '@goldcrestscale/runtime';
import {
  createControllers,
  listControllers,
  startControllers,
} from './compose/createControllers.js';
import type { Controllers } from './compose/createControllers.js';
import { createDataPath } from './compose/createDataPath.js';
import { dumpControllers } from './compose/dumpControllers.js';
import type { EntrySettings } from './config.js';
import { drainServer } from './drainServer.js';
import { authenticateCaller } from './filters/accountFilter.js';
import { createCallerServer } from './http/callerServer.js';
import { buildEntriesResponse } from './http/entriesResponse.js';
import { createOperationsServer } from './http/operationsServer.js';
import { createMesh } from './mesh/index.js';
import type { Mesh } from './mesh/index.js';
import { createEntryMetrics } from './metrics.js';
import type { EntryMetrics } from './metrics.js';
import { createUpstreamClient } from './upstream/upstreamClient.js';

/** Secrets of the entry daemon. */
export interface EntrySecrets {
  readonly operationsKey: string;
  readonly meshSecret: string;
  readonly fleetSecret: string;
}

/** Options of the entry daemon. */
export interface EntryOptions {
  readonly settings: EntrySettings;
  readonly secrets: EntrySecrets;
  readonly logger: Logger;
  /** Aborts to shut the daemon down. */
  readonly signal: AbortSignal;
}

interface DaemonComponents {
  readonly bootId: BootId;
  readonly metrics: MetricsRegistry;
  readonly entryMetrics: EntryMetrics;
  readonly mesh: Mesh;
  readonly controllers: Controllers;
}

const createDaemonMesh = (
  options: EntryOptions,
  bootId: BootId,
  signal: AbortSignal,
): Promise<Mesh> =>
  createMesh({
    vmId: options.settings.vmId,
    bootId,
    listen: options.settings.mesh,
    secret: Buffer.from(options.secrets.meshSecret),
    logger: options.logger.createPartLogger('mesh'),
    signal,
    stopSignal: options.signal,
  });

/** Creates the parts of the daemon; undefined if it was stopped meanwhile. */
const createDaemonComponents = async (
  options: EntryOptions,
  signal: AbortSignal,
): Promise<DaemonComponents | undefined> => {
  const { settings, logger } = options;
  const bootId = toId<BootId>(randomUUID());
  const metrics = createMetricsRegistry();
  metrics.collectDefaults();
  const entryMetrics = createEntryMetrics(metrics);
  const mesh = await createDaemonMesh(options, bootId, signal).catch((cause: unknown) => {
    // A stop ends the wait for the address of the mesh.
    if (options.signal.aborted) return undefined;
    throw cause;
  });
  if (!mesh) return undefined;
  const controllers = createControllers({ settings, logger, transport: mesh });
  return { bootId, metrics, entryMetrics, mesh, controllers };
};

const createDaemonOperationsServer = (
  options: EntryOptions,
  daemon: DaemonComponents,
  budget: ByteBudget,
  isReady: () => boolean,
): Server =>
  createOperationsServer({
    key: options.secrets.operationsKey,
    logger: options.logger.createPartLogger('operations'),
    isReady,
    dumpState: () => ({
      vmId: options.settings.vmId,
      bootId: daemon.bootId,
      mesh: { connected: daemon.mesh.listConnectedPeers(), stats: daemon.mesh.stats },
      ...dumpControllers(listControllers(daemon.controllers)),
    }),
    renderMetrics() {
      daemon.entryMetrics.setBufferedBytes(budget.heldBytes);
      return daemon.metrics.render();
    },
    onInvalidKey: () => daemon.entryMetrics.recordInvalidKey('operations'),
  });

/** Creates the monitor that reports how long this process stood still. */
const createPauseMonitor = (logger: Logger): PauseMonitor => {
  const partLogger = logger.createPartLogger('process');
  return new PauseMonitor({
    readCounts: () => ({}),
    onPause: ({ durationMs }) =>
      partLogger.warn('process stood still', { durationMs: Math.round(durationMs) }),
  });
};

/** Servers of the entry daemon. */
interface DaemonServers {
  readonly operationsServer: Server;
  readonly callerServer: Server;
}

/** Starts the servers and controllers; returns whether all run, or false if the daemon was stopped. */
const startDaemon = async (
  { settings, logger, signal }: EntryOptions,
  { controllers, entryMetrics }: DaemonComponents,
  { operationsServer, callerServer }: DaemonServers,
  lifetimeSignal: AbortSignal,
): Promise<boolean> => {
  const startServer = (server: Server, address: ListenAddress): Promise<void> =>
    listen(server, address, {
      logger,
      signal,
      onError(error) {
        entryMetrics.recordFault();
        logger.error('listener failed', { port: address.port, error: String(error) });
      },
    });
  const start = async (): Promise<void> => {
    await startServer(operationsServer, settings.operations);
    await startControllers(listControllers(controllers), lifetimeSignal);
    if (signal.aborted) return;
    controllers.tableGossip.start(lifetimeSignal);
    await startServer(callerServer, settings.listen);
  };
  // The controllers wait for the log, which a stop must not.
  await Promise.race([start(), waitForAbort(signal)]);
  return callerServer.listening;
};

/** Lets running requests finish and hands over what this VM holds. */
const drainDaemon = async (
  { settings, logger }: EntryOptions,
  { controllers }: DaemonComponents,
  callerServer: Server,
  lifetimeSignal: AbortSignal,
): Promise<void> => {
  logger.info('draining');
  controllers.membership.leave();
  await drainServer(callerServer, settings.entriesTtlMs);
  await controllers.idempotency.flush();
  await controllers.slots.leave(lifetimeSignal);
};

/** Runs the entry daemon until its signal aborts and all requests have completed. */
export const runEntry = async (options: EntryOptions): Promise<void> => {
  const { settings, logger, signal } = options;
  const lifetime = new AbortController();
  // Every connection and controller adds a listener for the lifetime of the daemon.
  setMaxListeners(0, lifetime.signal, signal);
  const inputBarrier = new EventLoopBarrier();
  const budget = new ByteBudget(computeBufferBytes(settings.memoryMb));
  const pauseMonitor = createPauseMonitor(logger);
  const daemon = await createDaemonComponents(options, lifetime.signal);
  if (!daemon) return;
  const { controllers, entryMetrics, bootId } = daemon;
  const client = createUpstreamClient(inputBarrier, {
    budget,
    onRefused: (reason) => entryMetrics.recordRefusedBody(reason),
  });
  let isReady = false;
  const callerServer = createCallerServer({
    filters: createDataPath({
      controllers,
      client,
      inputBarrier,
      logger,
      metrics: entryMetrics,
      fleetSecret: options.secrets.fleetSecret,
      settings,
      signal: lifetime.signal,
    }),
    budget,
    checkHeaders(headers) {
      // An outdated table must not reject an API key; the freshness filter refuses it instead.
      if (!controllers.membership.decideFreshness().accept) return;
      authenticateCaller(controllers.table.table, headers);
    },
    estimateArrivalMs: () => pauseMonitor.estimateArrivalMs(),
    buildEntries: (affinityKey) =>
      buildEntriesResponse(controllers.membership.rankEntryVms(affinityKey), settings.entriesTtlMs),
    onFault(cause) {
      entryMetrics.recordFault();
      logger.error('request ended by an unexpected error', { error: String(cause) });
    },
  });
  const operationsServer = createDaemonOperationsServer(
    options,
    daemon,
    budget,
    () => isReady && !signal.aborted,
  );
  pauseMonitor.start(lifetime.signal);
  const servers = { operationsServer, callerServer };
  isReady = await startDaemon(options, daemon, servers, lifetime.signal);
  if (isReady) {
    logger.info('listening', { address: settings.advertise, bootId });
    await waitForAbort(signal);
    await drainDaemon(options, daemon, callerServer, lifetime.signal);
  }
  lifetime.abort();
  await client.close();
  operationsServer.close();
  operationsServer.closeAllConnections();
  logger.info('stopped');
};
