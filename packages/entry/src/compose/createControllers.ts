import {
  CLOCK_ALLOWANCE_MS,
  CONFIG_STREAM,
  CappedEjection,
  createAppendBudget,
  createGenerator,
} from '@goldcrestscale/core';
import type { ConfigTable, StreamName, VmId, VmRecord } from '@goldcrestscale/core';
import { createHttpLogStream, createVmListClient } from '@goldcrestscale/platform';
import type { Logger } from '@goldcrestscale/runtime';
import type { EntrySettings } from '../config.js';
import type { Controller } from '../controllers/controller.js';
import { createOnceController } from '../controllers/onceController/index.js';
import type { OnceController } from '../controllers/onceController/index.js';
import { createTableController } from '../controllers/tableController/index.js';
import type { TableController } from '../controllers/tableController/index.js';
import { UpstreamsController } from '../controllers/upstreams/upstreamsController.js';
import { UsageController } from '../controllers/usage/index.js';
import { VmListController } from '../controllers/vmList/vmListController.js';
import type { PeerLink } from '../mesh/index.js';

/** What the controllers are built from. */
export interface ControllersOptions {
  readonly settings: EntrySettings;
  readonly logger: Logger;
  readonly link: PeerLink;
}

/** The controllers of the entry daemon. */
export interface Controllers {
  readonly table: TableController;
  readonly vmList: VmListController;
  readonly upstreams: UpstreamsController;
  readonly once: OnceController;
  readonly usage: UsageController;
}

const isEntry = (vm: VmRecord): boolean => vm.role === 'entry';

const listEntryVms = (vmList: VmListController, self: VmId): readonly VmId[] => {
  const listed = vmList
    .listVms()
    .filter(isEntry)
    .map((vm) => vm.vmId);
  return listed.includes(self) ? listed : [...listed, self];
};

const setPeers = (link: PeerLink, vms: readonly VmRecord[]): void => {
  const peers = vms
    .filter((vm) => isEntry(vm) && vm.vmId !== link.self.vmId)
    .flatMap(({ vmId, meshAddress }) =>
      meshAddress === undefined ? [] : [{ vmId, address: meshAddress, keepOpen: true }],
    );
  link.setPeers(peers);
};

/** Creates the controllers. */
export const createControllers = ({ settings, logger, link }: ControllersOptions): Controllers => {
  const { platform } = settings;
  const generator = createGenerator();
  const openStream = (name: StreamName) => createHttpLogStream(platform.logUrl, name);
  const table = createTableController({
    stream: openStream(CONFIG_STREAM),
    retentionMs: platform.logRetentionMs,
    generator,
  });
  const vmList = new VmListController({
    client: createVmListClient(platform.vmListUrl),
    logger: logger.createPart('vmList'),
    onUpdate: (vms) => setPeers(link, vms),
  });
  const upstreams = new UpstreamsController({
    table: (): ConfigTable => table.table,
    listVms: () => vmList.listVms(),
    ejection: new CappedEjection(generator),
    logger: logger.createPart('upstreams'),
  });
  const once = createOnceController({
    link,
    shardCount: settings.once.shardCount,
    openStream,
    generator,
    listEntryVms: () => listEntryVms(vmList, settings.vmId),
    window: { windowMs: settings.once.windowMs, clockAllowanceMs: CLOCK_ALLOWANCE_MS },
    budget: createAppendBudget(settings.once.appendsPerSecond),
  });
  const usage = new UsageController({
    link,
    listEntryVms: () => listEntryVms(vmList, settings.vmId),
    countCapacity: (poolId) => upstreams.countCapacity(poolId),
  });
  return { table, vmList, upstreams, once, usage };
};

/** Lists the controllers in the order in which they start. */
export const listControllers = (controllers: Controllers): readonly Controller[] => [
  controllers.table,
  controllers.vmList,
  controllers.upstreams,
  controllers.once,
  controllers.usage,
];

/** Starts controllers one after the other. */
export const startControllers = async (
  controllers: readonly Controller[],
  signal: AbortSignal,
): Promise<void> => {
  for (const controller of controllers) await controller.start(signal);
};
