import type { AddressInfo } from 'node:net';
import { FetchWindow, FleetRetryBudget, OperatorState, toId } from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  DeployedAccount,
  RouteRule,
  ServiceName,
  SoftwareVersion,
  UpstreamId,
  VmId,
} from '@goldcrestscale/core';
import {
  ByteBudget,
  EventLoopBarrier,
  PauseMonitor,
  createLogger,
  createMetricsRegistry,
} from '@goldcrestscale/runtime';
import { createCallerReports } from '../compose/createDataPath.js';
import { createFleetState } from '../compose/createFleetState.js';
import { FaultRecorder } from '../faultRecorder.js';
import { RequestLog } from '../requestLog.js';
import { ConnectionPool } from '../dispatch/connectionPool.js';
import { StreamContinuity } from '../dispatch/streamContinuity.js';
import { UpstreamChooser } from '../dispatch/upstreamChooser.js';
import { createGatewayFilters } from '../filters/index.js';
import { createCallerServer } from '../http/callerServer.js';
import { createGatewayMetrics } from '../metrics.js';
import { TestCallerProtocol, TestUpstreamProtocol } from './testProtocols.js';

const SERVICE = toId<ServiceName>('service');

const baseRoute: RouteRule = {
  name: 'route',
  host: 'site.example',
  pathPrefix: '/a/',
  destinations: [{ service: SERVICE, weight: 1 }],
  streaming: false,
  resumable: false,
  idempotent: true,
  timeoutMs: 2_000,
  objectiveMs: 300,
  gapObjectiveMs: undefined,
  maxUpstreams: 2,
  priority: 0,
  anonymous: true,
  carriesPrompt: false,
  regions: [],
};

/** Bounds of the fleet. */
export const bounds = {
  shutdownMs: 8_000,
  retryRatio: 0.2,
  retryAllowance: 50,
  retryWindowMs: 10_000,
  coldOverrun: 1.5,
  coldSlack: 5,
  weightsInForceMs: 10_000,
  directoryTtlMs: 5_000,
};

/** Options of the test gateway. */
export interface TestGatewayOptions {
  readonly route?: Partial<RouteRule>;
  readonly accounts?: readonly DeployedAccount[];
  /** Starts without a configuration. */
  readonly isUnconfigured?: boolean;
  readonly isLeaving?: () => boolean;
  readonly isRefusing?: () => boolean;
  /** Limit of the bytes that are buffered for callers. */
  readonly bufferBytes?: number;
  /** Limit of a request body. */
  readonly bodyBytes?: number;
  /** Time after the start for which it has no part of the fleet's retry allowance. */
  readonly retryAllowanceDelayMs?: number;
  readonly retryWindowMs?: number;
  /** Number of VMs that it has heard of; undefined while it can't know it. */
  readonly countVms?: () => number | undefined;
  /** Addresses of the upstreams. */
  readonly addresses: readonly string[];
  /** Software versions of the upstreams; undefined if their entries tell none. */
  readonly versions?: readonly string[];
}

/** Creates a gateway that listens on a free port. */
export const createTestGateway = async (options: TestGatewayOptions) => {
  const fleetState = createFleetState(toId<VmId>('vm-1'), toId<AvailabilityZoneId>('zone-1'));
  const operators = new OperatorState();
  if (!options.isUnconfigured) {
    operators.apply({
      kind: 'deployment',
      deployment: {
        version: 1,
        routes: [{ ...baseRoute, ...options.route }],
        services: [
          {
            name: SERVICE,
            connectionLimit: 100,
            coldStartMs: 0,
            coldRequestsPerSecond: 0,
            engine: undefined,
          },
        ],
        blockStores: [],
        accounts: options.accounts ?? [],
        callerLimits: {
          bodyBytes: options.bodyBytes ?? 1_000,
          headerTimeoutMs: 3_000,
          idleTimeoutMs: 15_000,
        },
      },
    });
  }
  options.addresses.forEach((address, index) =>
    fleetState.registry.apply({
      kind: 'present',
      upstream: {
        upstreamId: toId<UpstreamId>(`up-${index}`),
        service: SERVICE,
        address,
        availabilityZone: toId<AvailabilityZoneId>('z1'),
        slots: 8,
        draining: false,
        coldRemainingMs: 0,
        weights: [],
        heartbeat: 1,
        startedAtMs: 1,
        softwareVersion: options.versions && toId<SoftwareVersion>(options.versions[index]!),
      },
    }),
  );
  const { begunStreams, versions } = fleetState;
  versions.recordFirstReports([]);
  options.versions?.forEach((version) =>
    versions.recordRegistered(SERVICE, toId<SoftwareVersion>(version)),
  );
  const connections = new ConnectionPool(() => undefined);
  const metrics = createGatewayMetrics(createMetricsRegistry());
  const protocol = new TestCallerProtocol();
  const logger = createLogger({ part: 'test', level: 'error', format: 'json' });
  const requestLog = new RequestLog(logger);
  const faults = new FaultRecorder(requestLog, metrics);
  const budget = new ByteBudget(options.bufferBytes ?? Infinity);
  const stopController = new AbortController();
  const pauseMonitor = new PauseMonitor({ readCounts: () => ({}), onPause: () => undefined });
  pauseMonitor.start(stopController.signal);
  const chooser = new UpstreamChooser({
    ...fleetState,
    self: toId<VmId>('vm-1'),
    zone: toId<AvailabilityZoneId>('zone-1'),
    bounds,
    regions: new Map(),
    operators,
  });
  const gateway = createCallerServer({
    protocol,
    isTurningAway: options.isLeaving ?? (() => false),
    estimateArrivalMs: () => pauseMonitor.estimateArrivalMs(),
    counts: { requestsRead: 0, callersLeft: 0 },
    budget,
    ...createCallerReports(requestLog, metrics),
    faults,
    filters: createGatewayFilters({
      errorResponse: { requestLog, metrics, protocol },
      getView: () => operators.view,
      dispatch: {
        isRefusing: options.isRefusing ?? (() => false),
        chooser,
        connections,
        inputBarrier: new EventLoopBarrier(),
        protocol: new TestUpstreamProtocol(),
        retryBudget: new FleetRetryBudget(
          {
            ratio: bounds.retryRatio,
            allowance: bounds.retryAllowance,
            windowMs: options.retryWindowMs ?? bounds.retryWindowMs,
            allowanceDelayMs: options.retryAllowanceDelayMs ?? 0,
          },
          options.countVms ?? (() => 1),
        ),
        ejection: fleetState.ejection,
        blocks: fleetState.blocks,
        registry: fleetState.registry,
        reach: fleetState.reach,
        announcedRates: fleetState.announcedRates,
        rateLimits: fleetState.rateLimits,
        rejectionLimits: fleetState.rejectionLimits,
        runTimes: fleetState.runTimes,
        paces: fleetState.paces,
        places: fleetState.places,
        quarantine: fleetState.quarantine,
        requestLog,
        streamContinuity: new StreamContinuity({
          versions,
          findKnown: (requestId) => begunStreams.find(requestId),
          findBegun: async (requestId) => begunStreams.find(requestId),
          readVersions: async () => true,
          recordBegun: (stream) => begunStreams.record(stream),
          requestLog,
        }),
        faults,
        fetchWindow: new FetchWindow(operators),
        metrics,
        getConnectionShare: () => 50,
        onRequestCrash: () => undefined,
        onPromptSent: () => undefined,
      },
    }),
  });
  await new Promise<void>((resolve) => {
    gateway.server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = gateway.server.address() as AddressInfo;
  return {
    port,
    chooser,
    fleetState,
    operators,
    metrics,
    budget,
    applyLimits: gateway.applyLimits,
    close(): void {
      stopController.abort();
      connections.close();
      gateway.server.closeAllConnections();
      gateway.server.close();
    },
  };
};
