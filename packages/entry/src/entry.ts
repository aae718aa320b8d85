import { randomUUID } from 'node:crypto';
import {
  BudgetedRetryPolicy,
  CONFIG_STREAM,
  CappedEjection,
  LeastLoadRouter,
  createGenerator,
  toId,
} from '@goldcrestscale/core';
import type { BootId, ConfigTable } from '@goldcrestscale/core';
import { createHttpLogStream, createVmListClient } from '@goldcrestscale/platform';
import { createMetrics } from '@goldcrestscale/runtime';
import type { Logger } from '@goldcrestscale/runtime';
import type { EntrySettings } from './config.js';
import type { Controller } from './controllers/controller.js';
import { createTableController } from './controllers/tableController/index.js';
import type { TableController } from './controllers/tableController/index.js';
import { UpstreamsController } from './controllers/upstreams/upstreamsController.js';
import { VmListController } from './controllers/vmList/vmListController.js';
import { CompletionRunner } from './dispatch/completionRunner.js';
import { ServiceRunner } from './dispatch/serviceRunner.js';
import { drainServer } from './drain.js';
import { createFilters } from './filters/index.js';
import { createCallerServer } from './http/callerServer.js';
import type { EntriesAnswer } from './http/entriesAnswer.js';
import { createOperationsServer } from './http/operationsServer.js';
import { listen } from './listen.js';
import { createEntryMetrics } from './metrics.js';
import { waitForAbort } from './repeat.js';
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

interface Controllers {
  readonly table: TableController;
  readonly vmList: VmListController;
  readonly upstreams: UpstreamsController;
}

const createControllers = ({ settings, logger }: EntryOptions): Controllers => {
  const table = createTableController({
    stream: createHttpLogStream(settings.platform.logUrl, CONFIG_STREAM),
    retentionMs: settings.platform.logRetentionMs,
    generator: createGenerator(),
  });
  const vmList = new VmListController(
    createVmListClient(settings.platform.vmListUrl),
    logger.createPart('vmList'),
  );
  const upstreams = new UpstreamsController({
    table: (): ConfigTable => table.table,
    listVms: () => vmList.listVms(),
    logger: logger.createPart('upstreams'),
    ejection: new CappedEjection(createGenerator()),
  });
  return { table, vmList, upstreams };
};

const listEntries = (settings: EntrySettings, controllers: Controllers): EntriesAnswer => {
  const { table } = controllers.table;
  const entries = controllers.vmList
    .listVms()
    .filter((vm) => vm.role === 'entry' && vm.state === 'live')
    .filter((vm) => !table.isZoneOut(vm.availabilityZone))
    .map(({ address, availabilityZone }) => ({ address, availabilityZone }));
  return { entries, ttlMs: settings.entriesTtlMs };
};

const startControllers = async (
  controllers: readonly Controller[],
  signal: AbortSignal,
): Promise<void> => {
  for (const controller of controllers) await controller.start(signal);
};

/** Runs the entry daemon until its signal aborts and every request has ended. */
export const runEntry = async (options: EntryOptions): Promise<void> => {
  const { settings, secrets, logger, signal } = options;
  const bootId = toId<BootId>(randomUUID());
  const metrics = createMetrics();
  metrics.collectRuntime();
  const entryMetrics = createEntryMetrics(metrics);
  const controllers = createControllers(options);
  const { table, vmList, upstreams } = controllers;
  const client = createUpstreamClient();
  const filters = createFilters({
    logger: logger.createPart('filters'),
    metrics: entryMetrics,
    table: () => table.table,
    dispatch: {
      router: new LeastLoadRouter(),
      retries: new BudgetedRetryPolicy(createGenerator()),
      directory: upstreams,
      completions: new CompletionRunner(client),
      services: new ServiceRunner(client),
    },
  });
  const work = new AbortController();
  let ready = false;
  const callers = createCallerServer({
    filters,
    answerEntries: () => listEntries(settings, controllers),
  });
  const operations = createOperationsServer({
    key: secrets.operationsKey,
    logger: logger.createPart('operations'),
    isReady: () => ready && !signal.aborted,
    dumpState: () => ({
      vmId: settings.vmId,
      bootId,
      table: table.dump(),
      vmList: vmList.dump(),
      upstreams: upstreams.dump(),
    }),
    renderMetrics: () => metrics.render(),
    onWrongKey: () => entryMetrics.recordWrongKey('operations'),
  });
  await listen(operations, settings.operations);
  await startControllers([table, vmList, upstreams], work.signal);
  await listen(callers, settings.listen);
  ready = true;
  logger.info('listening', { address: settings.advertise, bootId });
  await waitForAbort(signal);
  logger.info('draining');
  await drainServer(callers, settings.entriesTtlMs);
  work.abort();
  await client.close();
  operations.close();
  operations.closeAllConnections();
  logger.info('stopped');
};
