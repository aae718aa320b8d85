import { setMaxListeners } from 'node:events';
import type { Server } from 'node:http';
import { sleep, waitForAbort } from '@goldcrestscale/core';
import type {
  EjectionChange,
  PermitRequest,
  QuarantineChange,
  ReachChange,
  VmId,
} from '@goldcrestscale/core';
import { ByteBudget, EventLoopBarrier, PauseMonitor, listen } from '@goldcrestscale/runtime';
import type { EventCounts, Logger } from '@goldcrestscale/runtime';
import { createAuxiliaryServers } from './compose/createAuxiliaryServers.js';
import type { GatewayServers } from './compose/createAuxiliaryServers.js';
import { createConnections } from './compose/createConnections.js';
import type { ServerConnections } from './compose/createConnections.js';
import { createControllers } from './compose/createControllers.js';
import type { Controllers } from './compose/createControllers.js';
import { createDataPath } from './compose/createDataPath.js';
import { createFleetState } from './compose/createFleetState.js';
import type { FleetState } from './compose/createFleetState.js';
import { Shutdown } from './controllers/shutdown.js';
import { FaultRecorder } from './faultRecorder.js';
import type { GatewayOptions } from './gatewayOptions.js';
import type { CallerServer } from './http/callerServer.js';
import type { TunnelServer } from './mesh/tunnelServer.js';
import { logRateChange, logRejectionLimitChange } from './rateLogs.js';
import { RequestLog } from './requestLog.js';
import { createPaceReport } from './speedMetrics.js';
import { runTask } from './runTask.js';
import { splitAddress } from './socketAddress.js';

const logQuarantineChange = (logger: Logger, { kind, row }: QuarantineChange): void => {
  const subject = row.kind === 'part' ? 'prompt part' : 'request';
  logger.warn(kind === 'refused' ? `${subject} refused` : `refusal of ${subject} lifted`, {
    digest: row.digest,
    label: row.label,
    clearings: row.clearings,
    requestedAgeMs: Math.round(row.requestedAgeMs),
    crashes: row.crashes.map((crash) => ({ ...crash, ageMs: Math.round(crash.ageMs) })),
  });
};

const logEjectionChange = (
  requestLog: RequestLog,
  { isEjected, openMs, ...fields }: EjectionChange,
): void => {
  if (isEjected) requestLog.log('upstream ejected', { ...fields, openMs: Math.round(openMs) });
  else if (fields.reason === 'left') requestLog.log('ejected upstream left', fields);
  else requestLog.log('ejected upstream taken back', fields);
};

const logReachChange = (logger: Logger, { isCutOff, silentMs, failing }: ReachChange): void => {
  const fields = { silentMs: Math.round(silentMs) };
  if (isCutOff) logger.warn('no upstream can be reached', { ...fields, failing });
  else logger.info('upstreams can be reached again', fields);
};

/** Creates the state of the fleet, whose changes are logged and counted. */
const createReportedFleetState = (
  { settings, logger, metrics }: GatewayOptions,
  sendPermitRequest: (granter: VmId, request: PermitRequest) => void,
  hasReadFor: (durationMs: number) => boolean,
): FleetState => {
  const rateLog = new RequestLog(logger.createPartLogger('rates'));
  const ejectionLog = new RequestLog(logger.createPartLogger('ejection'));
  return createFleetState(settings.vmId, settings.availabilityZone, {
    onQuarantineChange: (change) => logQuarantineChange(logger, change),
    onRateChange(change) {
      logRateChange(rateLog, change);
      metrics.setAnnouncedRate(change.upstreamId, change.requestsPerSecond);
    },
    onRejectionLimitChange(change) {
      logRejectionLimitChange(rateLog, change);
      metrics.setRejectionLimit(change.service, change.rejectionsPerSecond);
    },
    onEjectionChange(change) {
      logEjectionChange(ejectionLog, change);
      metrics.recordEjection(change);
    },
    onPaceChange: createPaceReport(logger, metrics),
    onReachChange(change) {
      logReachChange(logger.createPartLogger('reach'), change);
      metrics.setCutOff(change.isCutOff);
    },
    hasReadFor,
    sendPermitRequest,
  });
};

/** Longest time for which connections and requests are still read once a shutdown is over. */
const MAX_LAST_READ_MS = 200;

/** Polling interval while a shutdown drains. */
const DRAIN_POLL_MS = 50;

/** Starts the servers; the signal that stops the gateway ends the wait for their addresses. */
const startServers = async (
  servers: GatewayServers,
  connections: ServerConnections,
  { settings, logger, signal }: GatewayOptions,
  faults: FaultRecorder,
): Promise<void> => {
  const startServer = (name: keyof GatewayServers, address: string): Promise<void> => {
    connections[name].watchHttp(servers[name]);
    return listen(servers[name], splitAddress(address), {
      logger,
      signal,
      onError: (error) => faults.record('listener', error, { listener: name }),
    });
  };
  const { callers, directory, readiness, metrics } = settings.listen;
  await Promise.all([
    startServer('callers', callers),
    startServer('directory', directory),
    startServer('readiness', readiness),
  ]);
  if (metrics === undefined) return;
  // Requests don't depend on the metrics, so that the start doesn't wait for their address.
  startServer('metrics', metrics).catch((cause: unknown) => {
    logger.warn('could not listen on the metrics address', {
      address: metrics,
      error: String(cause),
    });
  });
};

/** Creates the monitor that reports how long this process stood still, and what it found then. */
const createPauseMonitor = (
  { logger, metrics }: GatewayOptions,
  readCounts: () => EventCounts,
): PauseMonitor => {
  const pauseLog = new RequestLog(logger.createPartLogger('process'));
  return new PauseMonitor({
    readCounts,
    onPause({ durationMs, counts }) {
      metrics.recordPause(durationMs);
      pauseLog.log('event loop stalled', { durationMs: Math.round(durationMs), ...counts });
    },
  });
};

/** Starts the controllers, which run until the signal aborts; the stop signal ends the start. */
const startControllers = async (
  controllers: Controllers,
  faults: FaultRecorder,
  signal: AbortSignal,
  stopSignal: AbortSignal,
): Promise<void> => {
  await controllers.gossip.start(signal, stopSignal);
  await controllers.feedServer.start(signal, stopSignal);
  if (stopSignal.aborted) return;
  controllers.streamRecords.start(signal);
  const { feedClient, operators, upstreams, entries, rollout, reachProbe, tunnels } = controllers;
  const tasks = { feedClient, operators, upstreams, entries, rollout, reachProbe };
  Object.entries(tasks).forEach(([name, task]) => {
    void runTask((taskSignal) => task.run(taskSignal), { name, faults, signal });
  });
  signal.addEventListener('abort', () => tunnels.close(), { once: true });
};

/**
 * Waits until no request is open, also none that another VM sends through this one, and callers had
 * time to switch to other VMs, or until the time limit.
 */
const drain = async (
  callers: CallerServer,
  shutdown: Shutdown,
  tunnels: TunnelServer,
): Promise<void> => {
  const inputBarrier = new EventLoopBarrier();
  let arrivalCount = 0;
  const recordArrival = (): void => {
    arrivalCount += 1;
  };
  callers.server.on('connection', recordArrival).on('request', recordArrival);
  const isDone = (): boolean =>
    shutdown.isOver ||
    (shutdown.isRefusing && callers.countOpenRequests() === 0 && tunnels.countOpen() === 0);
  let readUntilMs: number | undefined;
  // After a pause, timers run before what came in it is read, and each turn accepts one connection.
  const hasReadAll = async (): Promise<boolean> => {
    const countBefore = arrivalCount;
    await inputBarrier.run(() => undefined);
    if (shutdown.isOver) readUntilMs ??= performance.now() + MAX_LAST_READ_MS;
    return arrivalCount === countBefore || performance.now() > (readUntilMs ?? Infinity);
  };
  while (!(isDone() && (await hasReadAll()) && isDone())) {
    if (!isDone()) await sleep(DRAIN_POLL_MS);
  }
};

const closeAll = ({ upstreamProtocol, log }: GatewayOptions, servers: readonly Server[]): void => {
  upstreamProtocol.close();
  log.close();
  servers.forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
};

/** Runs the gateway until the signal aborts and the shutdown has drained. */
export const runGateway = async (options: GatewayOptions): Promise<void> => {
  const { settings, logger, signal, metrics } = options;
  const workController = new AbortController();
  // All requests and controllers add abort listeners, which would trigger the leak warning.
  setMaxListeners(0, workController.signal, signal);
  const shutdown = new Shutdown(settings.bounds.shutdownMs);
  /* eslint-disable @typescript-eslint/no-use-before-define -- called later */
  const fleetState = createReportedFleetState(
    options,
    (granter, request) => controllers.gossip.sendPermitRequest(granter, request),
    (durationMs) => pauseMonitor.hasReadFor(durationMs),
  );
  const { connections, serverConnections, upstreamShare, callerSockets } = await createConnections(
    options,
    fleetState.reach,
    () => controllers.paths,
  );
  /* eslint-enable @typescript-eslint/no-use-before-define */
  const faults = new FaultRecorder(new RequestLog(logger.createPartLogger('faults')), metrics);
  const budget = new ByteBudget(settings.bufferBytes);
  const counts = { requestsRead: 0, callersLeft: 0 };
  const pauseMonitor = createPauseMonitor(options, () => ({ ...counts }));
  const isLeaving = (): boolean => shutdown.isLeaving;
  const processState = { pauseMonitor, faults, budget, upstreamShare, callerSockets, isLeaving };
  const controllers: Controllers = createControllers(options, fleetState, processState, () => {
    controllers.stores.refresh(workController.signal);
    const limits = controllers.operators.state.view?.deployment.callerLimits;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- called later
    if (limits) callers.applyLimits(limits);
  });
  const callers = createDataPath(options, {
    fleetState,
    shutdown,
    connections,
    ...controllers,
    ...processState,
    counts,
  });
  options.onServing?.(() => callers.countOpenRequests());
  const servers = createAuxiliaryServers(options, controllers, shutdown, {
    operated: fleetState,
    serverConnections,
    ...processState,
  });
  await startServers({ callers: callers.server, ...servers }, serverConnections, options, faults);
  pauseMonitor.start(workController.signal);
  await startControllers(controllers, faults, workController.signal, signal);
  if (signal.aborted) logger.info('stopped before the start was complete');
  else logger.info('started', { vmId: settings.vmId, bootId: controllers.bootId });
  await waitForAbort(signal);
  logger.info('draining', { openRequests: callers.countOpenRequests() });
  shutdown.start();
  controllers.entries.leave();
  controllers.tunnels.leave();
  // Nobody has connected if the start ended before callers could.
  if (callers.server.listening) await drain(callers, shutdown, controllers.tunnels);
  workController.abort();
  connections.close();
  closeAll(options, [callers.server, ...Object.values(servers)]);
  logger.info('stopped');
};
