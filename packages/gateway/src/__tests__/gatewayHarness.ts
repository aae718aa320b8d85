import { request as sendRequest } from 'node:http';
import type { AddressInfo } from 'node:net';
import { onTestFinished } from 'vitest';
import { FetchWindow, FleetRetryBudget, OperatorState, toId } from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  DeployedAccount,
  RouteRule,
  ServiceName,
  UpstreamId,
  VmId,
} from '@goldcrestscale/core';
import { createLogger, createMetricsRegistry } from '@goldcrestscale/runtime';
import { createFleetState } from '../compose/createFleetState.js';
import { RequestLog } from '../requestLog.js';
import { ConnectionPool } from '../dispatch/connectionPool.js';
import { UpstreamChooser } from '../dispatch/upstreamChooser.js';
import { createGatewayFilters } from '../filters/index.js';
import { createCallerServer } from '../http/callerServer.js';
import { createGatewayMetrics } from '../metrics.js';
import { FakeUpstream } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { TestCallerProtocol, TestUpstreamProtocol } from './testProtocols.js';

const SERVICE = toId<ServiceName>('service');

/** The response as the caller received it. */
export interface CallerReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
  /** Whether the response was complete. */
  readonly isWhole: boolean;
}

/** Options of a test request. */
export interface TestCall {
  readonly path?: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly signal?: AbortSignal;
}

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

const bounds = {
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
export interface HarnessOptions {
  readonly route?: Partial<RouteRule>;
  readonly accounts?: readonly DeployedAccount[];
  /** Starts without a configuration. */
  readonly isUnconfigured?: boolean;
  readonly isRefusing?: () => boolean;
  /** The request handler of each upstream. */
  readonly upstreams: readonly ((request: TestRequest) => void)[];
}

let lastId = 0;

const sendCall = (port: number, call: TestCall): Promise<CallerReply> =>
  new Promise((resolve, reject) => {
    lastId += 1;
    const request = sendRequest({
      port,
      host: '127.0.0.1',
      method: call.method ?? 'POST',
      path: call.path ?? '/a/1',
      headers: { host: 'site.example', 'x-id': `id-${lastId}`, ...call.headers },
      agent: false,
      ...(call.signal ? { signal: call.signal } : {}),
    });
    request.on('error', reject);
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      const finish = (isWhole: boolean): void =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          isWhole,
        });
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('end', () => finish(response.complete));
      response.on('error', () => finish(false));
    });
    request.end(call.body ?? '');
  });

/** Starts a gateway with scripted upstreams; closes everything when the test ends. */
export const startGateway = async (options: HarnessOptions) => {
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
        callerLimits: { bodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
      },
    });
  }
  const upstreams = options.upstreams.map((handleRequest) => new FakeUpstream(handleRequest));
  const addresses = await Promise.all(upstreams.map((upstream) => upstream.listen()));
  addresses.forEach((address, index) =>
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
      },
    }),
  );
  const connections = new ConnectionPool(() => undefined);
  const metrics = createGatewayMetrics(createMetricsRegistry());
  const protocol = new TestCallerProtocol();
  const logger = createLogger({ part: 'test', level: 'error', format: 'json' });
  const requestLog = new RequestLog(logger);
  const gateway = createCallerServer({
    protocol,
    isLeaving: () => false,
    filters: createGatewayFilters({
      errorResponse: { requestLog, metrics, protocol },
      getView: () => operators.view,
      isRefusing: options.isRefusing ?? (() => false),
      dispatch: {
        chooser: new UpstreamChooser({
          ...fleetState,
          self: toId<VmId>('vm-1'),
          zone: toId<AvailabilityZoneId>('zone-1'),
          bounds,
          regions: new Map(),
          operators,
        }),
        connections,
        protocol: new TestUpstreamProtocol(),
        retryBudget: new FleetRetryBudget(
          { ratio: bounds.retryRatio, allowance: bounds.retryAllowance, windowMs: 10_000 },
          () => 1,
        ),
        ejection: fleetState.ejection,
        blocks: fleetState.blocks,
        registry: fleetState.registry,
        announcedRates: fleetState.announcedRates,
        rateLimits: fleetState.rateLimits,
        quarantine: fleetState.quarantine,
        requestLog,
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
  onTestFinished(() => {
    connections.close();
    gateway.server.closeAllConnections();
    gateway.server.close();
    upstreams.forEach((upstream) => upstream.close());
  });
  return {
    port,
    call: (call: TestCall = {}) => sendCall(port, call),
    upstreams,
    fleetState,
    operators,
    metrics,
  };
};
