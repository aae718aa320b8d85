import { FleetRetryBudget, ROSTER_LAG_MS } from '@goldcrestscale/core';
import type { EntryRoster, ServiceName } from '@goldcrestscale/core';
import { EventLoopBarrier } from '@goldcrestscale/runtime';
import type { ByteBudget, PauseMonitor } from '@goldcrestscale/runtime';
import { CONNECTION_LIMIT_FRACTION } from '../constants.js';
import { refreshReaders } from '../controllers/refreshReaders.js';
import type { Shutdown } from '../controllers/shutdown.js';
import { RequestLog } from '../requestLog.js';
import type { ConnectionPool } from '../dispatch/connectionPool.js';
import type { FaultRecorder } from '../faultRecorder.js';
import { StreamContinuity } from '../dispatch/streamContinuity.js';
import { UpstreamChooser } from '../dispatch/upstreamChooser.js';
import { createGatewayFilters } from '../filters/index.js';
import type { GatewayOptions } from '../gatewayOptions.js';
import { createCallerServer } from '../http/callerServer.js';
import type { CallerCounts, CallerServer, CallerServerOptions } from '../http/callerServer.js';
import type { GatewayMetrics } from '../metrics.js';
import type { Controllers } from './createControllers.js';
import type { FleetState } from './createFleetState.js';

/** Dependencies of the data path. */
export interface DataPathOptions {
  readonly fleetState: FleetState;
  readonly operators: Controllers['operators'];
  readonly shutdown: Shutdown;
  readonly connections: ConnectionPool;
  readonly gossip: Controllers['gossip'];
  readonly streamRecords: Controllers['streamRecords'];
  readonly upstreams: Controllers['upstreams'];
  readonly entries: Controllers['entries'];
  readonly canServe: Controllers['canServe'];
  readonly pauseMonitor: PauseMonitor;
  /** Running counts for reports of pauses. */
  readonly counts: CallerCounts;
  readonly budget: ByteBudget;
  readonly faults: FaultRecorder;
}

const createRetryBudget = (
  { bounds }: GatewayOptions['settings'],
  roster: EntryRoster,
): FleetRetryBudget =>
  new FleetRetryBudget(
    {
      ratio: bounds.retryRatio,
      allowance: bounds.retryAllowance,
      windowMs: bounds.retryWindowMs,
      allowanceDelayMs: bounds.retryWindowMs + ROSTER_LAG_MS,
    },
    () => roster.countAllSenders(),
  );

const countVms = (roster: EntryRoster): number => Math.max(1, roster.listPossibleSenders().length);

type StreamContinuityParts = Pick<
  DataPathOptions,
  'fleetState' | 'streamRecords' | 'upstreams' | 'entries'
>;

/** Creates the decision at which upstreams streams may go on. */
export const createStreamContinuity = (
  { fleetState, streamRecords, upstreams, entries }: StreamContinuityParts,
  requestLog: RequestLog,
): StreamContinuity =>
  new StreamContinuity({
    versions: fleetState.versions,
    findKnown: (requestId) => fleetState.begunStreams.find(requestId),
    findBegun: (requestId, signal) => streamRecords.find(requestId, signal),
    readVersions: (signal) =>
      refreshReaders([upstreams.reader, entries.reader], requestLog, signal),
    recordBegun: (stream) => streamRecords.recordBegun(stream),
    requestLog,
  });

/** Logs and counts what the server for callers reads late, and does to connections on its own. */
export const createCallerReports = (
  requestLog: RequestLog,
  metrics: Pick<GatewayMetrics, 'countClosedConnection' | 'observeUnread'>,
): Pick<
  CallerServerOptions,
  'onHeadRead' | 'onUnreadResponse' | 'onHeadDropped' | 'onTooManyPipelined'
> => ({
  onHeadRead: (waitedMs) => metrics.observeUnread(waitedMs),
  onTooManyPipelined() {
    metrics.countClosedConnection('callers', 'pipelined');
    requestLog.log('too many requests on one connection', {});
  },
  onUnreadResponse(unreadBytes) {
    metrics.countClosedConnection('callers', 'unread-response');
    requestLog.log('response not read', { unreadBytes });
  },
  onHeadDropped(headBytes) {
    metrics.countClosedConnection('callers', 'head-memory');
    requestLog.log('no memory for a head', { headBytes });
  },
});

/** Creates the request path: the server for callers, the filter chain and the upstream chooser. */
export const createDataPath = (
  { settings, metrics, callerProtocol, logger, upstreamProtocol }: GatewayOptions,
  dependencies: DataPathOptions,
): CallerServer => {
  const { fleetState, operators, shutdown, connections, gossip, canServe } = dependencies;
  const { pauseMonitor, counts, budget, faults } = dependencies;
  const { roster } = fleetState;
  const getConnectionShare = (service: ServiceName): number => {
    const limit = operators.state.view?.findService(service)?.connectionLimit ?? Infinity;
    return Math.max(1, Math.floor((limit * CONNECTION_LIMIT_FRACTION) / countVms(roster)));
  };
  const requestLog = new RequestLog(logger.createPartLogger('requests'));
  const filters = createGatewayFilters({
    errorResponse: {
      requestLog,
      metrics,
      protocol: callerProtocol,
    },
    getView: () => operators.state.view,
    dispatch: {
      ...fleetState,
      isRefusing: () => shutdown.isRefusing,
      chooser: new UpstreamChooser({
        ...fleetState,
        self: settings.vmId,
        zone: settings.availabilityZone,
        bounds: settings.bounds,
        regions: settings.regions,
        operators: operators.state,
      }),
      connections,
      inputBarrier: new EventLoopBarrier(),
      protocol: upstreamProtocol,
      retryBudget: createRetryBudget(settings, roster),
      requestLog,
      streamContinuity: createStreamContinuity(dependencies, requestLog),
      admission: settings.admission,
      estimateOutageMs: () => operators.reader.outageMs ?? dependencies.upstreams.reader.outageMs,
      faults,
      fetchWindow: operators.fetchWindow,
      metrics,
      getConnectionShare,
      onRequestCrash: () => gossip.reportCrashes(),
      onPromptSent: (tokens) => gossip.handlePromptSent(tokens),
    },
  });
  return createCallerServer({
    protocol: callerProtocol,
    filters,
    isTurningAway: () => shutdown.isLeaving || !canServe(),
    estimateArrivalMs: () => pauseMonitor.estimateArrivalMs(),
    counts,
    budget,
    faults,
    ...createCallerReports(requestLog, metrics),
  });
};
