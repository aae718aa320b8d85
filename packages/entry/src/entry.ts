import { randomUUID } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import type { Server } from 'node:http';
import { toId, waitForAbort } from '@goldcrestscale/core';
import type { BootId } from '@goldcrestscale/core';
import { createMetrics, listen } from '@goldcrestscale/runtime';
import type { Logger, Metrics } from '@goldcrestscale/runtime';
import {
  createControllers,
  listControllers,
  startControllers,
} from './compose/createControllers.js';
import type { Controllers } from './compose/createControllers.js';
import { createDataPath } from './compose/createDataPath.js';
import { dumpControllers } from './compose/dumpControllers.js';
import type { EntrySettings } from './config.js';
import { drainServer } from './drain.js';
import { authenticateCaller } from './filters/identifyAccountFilter.js';
import { createCallerServer } from './http/callerServer.js';
import { buildEntriesAnswer } from './http/entriesAnswer.js';
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

/** What the entry daemon is started with. */
export interface EntryOptions {
  readonly settings: EntrySettings;
  readonly secrets: EntrySecrets;
  readonly logger: Logger;
  /** Aborts when the daemon is to shut down. */
  readonly signal: AbortSignal;
}

interface Daemon {
  readonly bootId: BootId;
  readonly metrics: Metrics;
  readonly entryMetrics: EntryMetrics;
  readonly mesh: Mesh;
  readonly controllers: Controllers;
}

const openMesh = (options: EntryOptions, bootId: BootId, signal: AbortSignal): Promise<Mesh> =>
  createMesh({
    vmId: options.settings.vmId,
    bootId,
    listen: options.settings.mesh,
    secret: Buffer.from(options.secrets.meshSecret),
    logger: options.logger.createPart('mesh'),
    signal,
  });

const createDaemon = async (options: EntryOptions, signal: AbortSignal): Promise<Daemon> => {
  const { settings, logger } = options;
  const bootId = toId<BootId>(randomUUID());
  const metrics = createMetrics();
  metrics.collectRuntime();
  const entryMetrics = createEntryMetrics(metrics);
  const mesh = await openMesh(options, bootId, signal);
  const controllers = createControllers({ settings, logger, link: mesh });
  return { bootId, metrics, entryMetrics, mesh, controllers };
};

const createOperations = (options: EntryOptions, daemon: Daemon, isReady: () => boolean): Server =>
  createOperationsServer({
    key: options.secrets.operationsKey,
    logger: options.logger.createPart('operations'),
    isReady,
    dumpState: () => ({
      vmId: options.settings.vmId,
      bootId: daemon.bootId,
      mesh: { connected: daemon.mesh.listConnectedPeers(), stats: daemon.mesh.stats },
      ...dumpControllers(listControllers(daemon.controllers)),
    }),
    renderMetrics: () => daemon.metrics.render(),
    onWrongKey: () => daemon.entryMetrics.recordWrongKey('operations'),
  });

/** Runs the entry daemon until its signal aborts and every request has ended. */
export const runEntry = async (options: EntryOptions): Promise<void> => {
  const { settings, logger, signal } = options;
  const work = new AbortController();
  // Every connection and controller listens to it for as long as the daemon runs.
  setMaxListeners(0, work.signal, signal);
  const client = createUpstreamClient();
  const daemon = await createDaemon(options, work.signal);
  const { controllers, entryMetrics, bootId } = daemon;
  let ready = false;
  const callers = createCallerServer({
    filters: createDataPath({
      controllers,
      client,
      logger,
      metrics: entryMetrics,
      fleetSecret: options.secrets.fleetSecret,
      settings,
      signal: work.signal,
    }),
    checkHead(headers) {
      // What may be outdated must not deny a caller; the chain then refuses it for that reason.
      if (!controllers.membership.decideFreshness().accept) return;
      authenticateCaller(controllers.table.table, headers);
    },
    answerEntries: (affinityKey) =>
      buildEntriesAnswer(controllers.membership.rankEntryVms(affinityKey), settings.entriesTtlMs),
  });
  const operations = createOperations(options, daemon, () => ready && !signal.aborted);
  await listen(operations, settings.operations);
  await startControllers(listControllers(controllers), work.signal);
  controllers.tablePeers.start(work.signal);
  await listen(callers, settings.listen);
  ready = true;
  logger.info('listening', { address: settings.advertise, bootId });
  await waitForAbort(signal);
  logger.info('draining');
  controllers.membership.leave();
  await drainServer(callers, settings.entriesTtlMs);
  await controllers.once.flush();
  await controllers.slots.leave(work.signal);
  work.abort();
  await client.close();
  operations.close();
  operations.closeAllConnections();
  logger.info('stopped');
};
