import type { Server } from 'node:http';
import type { ByteBudget } from '@goldcrestscale/runtime';
import type { ClosingReason } from '../connectionMetrics.js';
import { DIRECTORY_TTL_MS } from '../constants.js';
import type { Shutdown } from '../controllers/shutdown.js';
import type { FaultRecorder } from '../faultRecorder.js';
import type { GatewayOptions } from '../gatewayOptions.js';
import { createAuxiliaryServer } from '../http/auxiliaryServer.js';
import type { OperatedState } from '../http/auxiliaryServer.js';
import { collectSpeeds } from '../speedMetrics.js';
import type { ServerConnections } from './createConnections.js';
import type { Controllers } from './createControllers.js';
import type { FleetState } from './createFleetState.js';

/** Servers that start with the gateway. */
export interface GatewayServers {
  readonly callers: Server;
  readonly directory: Server;
  readonly readiness: Server;
  readonly metrics: Server;
}

/** Creates the servers for the directory, readiness checks and metrics. */
export const createAuxiliaryServers = (
  { settings, callerProtocol, metrics: counters }: GatewayOptions,
  { canServe, entries }: Controllers,
  shutdown: Shutdown,
  {
    operated,
    faults,
    budget,
    serverConnections,
  }: {
    readonly operated: OperatedState & FleetState;
    readonly faults: FaultRecorder;
    readonly budget: ByteBudget;
    readonly serverConnections: ServerConnections;
  },
): { readonly directory: Server; readonly readiness: Server; readonly metrics: Server } => {
  const createOnClose =
    (listener: Exclude<keyof GatewayServers, 'callers'>) =>
    (reason: ClosingReason): void =>
      counters.countClosedConnection(listener, reason);
  const commonOptions = {
    protocol: callerProtocol,
    isReady: () => !shutdown.isLeaving && canServe(),
    ttlMs: Math.min(DIRECTORY_TTL_MS, settings.bounds.directoryTtlMs),
    renderMetrics: () => {
      counters.setBufferedBytes(budget.heldBytes);
      Object.entries(serverConnections).forEach(([name, { openCount }]) =>
        counters.setOpenConnections(name as keyof GatewayServers, openCount),
      );
      counters.setHeldBytes(budget.purposes);
      counters.setSpeeds(collectSpeeds(operated.registry, operated.paces));
      counters.setAllowanceVms(operated.roster.countAllSenders());
      return counters.render();
    },
    operated: undefined,
    faults,
  };
  return {
    directory: createAuxiliaryServer({
      ...commonOptions,
      onClose: createOnClose('directory'),
      listAddresses: (zone) => entries.listAddresses(zone),
    }),
    readiness: createAuxiliaryServer({
      ...commonOptions,
      onClose: createOnClose('readiness'),
      listAddresses: undefined,
    }),
    metrics: createAuxiliaryServer({
      ...commonOptions,
      onClose: createOnClose('metrics'),
      listAddresses: undefined,
      operated,
    }),
  };
};
