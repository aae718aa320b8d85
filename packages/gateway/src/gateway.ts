import { setMaxListeners } from 'node:events';
import type { Server } from 'node:http';
import { sleep, waitForAbort } from '@goldcrestscale/core';
import { listen } from '@goldcrestscale/runtime';
import { createControllers } from './compose/createControllers.js';
import type { Controllers } from './compose/createControllers.js';
import { createDataPath } from './compose/createDataPath.js';
import { createKnowledge } from './compose/createKnowledge.js';
import { DIRECTORY_TTL_MS } from './constants.js';
import { Shutdown } from './controllers/shutdown.js';
import { ConnectionPool } from './dispatch/connectionPool.js';
import type { GatewayOptions } from './gatewayOptions.js';
import type { GatewayServer } from './http/callerServer.js';
import { createServiceServer } from './http/serviceServer.js';
import { splitAddress } from './socketAddress.js';

/** Interval at which the end of a shutdown is looked for, in milliseconds. */
const DRAIN_CHECK_MS = 50;

/** Serves metrics at an address of their own; without them requests are served all the same. */
const listenForMetrics = async (
  server: Server,
  { settings, logger }: GatewayOptions,
): Promise<void> => {
  const address = settings.listen.metrics;
  if (address === undefined) return;
  try {
    await listen(server, splitAddress(address));
  } catch (cause) {
    logger.warn('metrics have no address of their own', { address, error: String(cause) });
  }
};

/** Creates the listeners for the directory and for readiness checks. */
const createServiceServers = (
  { settings, callers, metrics: counters }: GatewayOptions,
  { operators, upstreams, entries }: Controllers,
  shutdown: Shutdown,
): { readonly directory: Server; readonly readiness: Server; readonly metrics: Server } => {
  const common = {
    protocol: callers,
    isReady: () => !shutdown.isLeaving && !!operators.state.view && upstreams.hasSnapshot,
    ttlMs: Math.min(DIRECTORY_TTL_MS, settings.bounds.directoryTtlMs),
    renderMetrics: () => counters.render(),
  };
  return {
    directory: createServiceServer({
      ...common,
      listAddresses: (zone) => entries.listAddresses(zone),
    }),
    readiness: createServiceServer({ ...common, listAddresses: undefined }),
    metrics: createServiceServer({ ...common, listAddresses: undefined }),
  };
};

/** Starts the controllers; they run until the signal aborts. */
const startControllers = async (controllers: Controllers, signal: AbortSignal): Promise<void> => {
  await controllers.gossip.start(signal);
  await controllers.feedServer.start(signal);
  void controllers.feedClient.run(signal);
  void controllers.operators.run(signal);
  void controllers.upstreams.run(signal);
  void controllers.entries.run(signal);
  void controllers.rollout.run(signal);
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
  const connections = new ConnectionPool(() => metrics.countConnection());
  const knowledge = createKnowledge(settings.vmId, settings.availabilityZone);
  const controllers: Controllers = createControllers(options, knowledge, () => {
    controllers.stores.refresh(work.signal);
    const limits = controllers.operators.state.view?.deployment.callerLimits;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called later
    if (limits) callers.applyLimits(limits);
  });
  const { operators, gossip } = controllers;
  const parts = { knowledge, operators, shutdown, connections, gossip };
  const callers = createDataPath(options, parts);
  const services = createServiceServers(options, controllers, shutdown);
  const { directory, readiness } = services;
  await Promise.all([
    listen(callers.server, splitAddress(settings.listen.callers)),
    listen(directory, splitAddress(settings.listen.directory)),
    listen(readiness, splitAddress(settings.listen.readiness)),
  ]);
  await listenForMetrics(services.metrics, options);
  await startControllers(controllers, work.signal);
  logger.info('started', { vmId: settings.vmId, bootId: controllers.bootId });
  await waitForAbort(signal);
  logger.info('draining', { openRequests: callers.countOpen() });
  shutdown.start();
  controllers.entries.leave();
  await drain(callers, shutdown);
  work.abort();
  connections.close();
  options.upstreams.close();
  options.log.close();
  [callers.server, directory, readiness, services.metrics].forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
  logger.info('stopped');
};
