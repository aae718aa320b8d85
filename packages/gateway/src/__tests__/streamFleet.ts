import { setMaxListeners } from 'node:events';
import { isGoldcrestError, toId } from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  RegistryChange,
  ServiceName,
  SoftwareVersion,
  UpstreamId,
  VmId,
} from '@goldcrestscale/core';
import {
  ByteBudget,
  PauseMonitor,
  createLogger,
  createMetricsRegistry,
} from '@goldcrestscale/runtime';
import { createControllers } from '../compose/createControllers.js';
import { createStreamContinuity } from '../compose/createDataPath.js';
import { createFleetState } from '../compose/createFleetState.js';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import { createGatewayMetrics } from '../metrics.js';
import { RecordCodec } from '../ports/index.js';
import type { KeyedRecord, LogTopic } from '../ports/index.js';
import { createSocketShares } from '../socketShares.js';
import { RequestLog } from '../requestLog.js';
import { buildSettings } from './relayedFleet.js';
import { SimulatedLog } from './simulatedLog.js';
import { createTestFaults } from './testFaults.js';
import { TestCallerProtocol, TestUpstreamProtocol } from './testProtocols.js';
import { buildTestUpstream } from './testUpstream.js';

const SERVICE = toId<ServiceName>('service');

/** Decodes records that tell the software version of an upstream. */
class VersionCodec extends RecordCodec {
  override decodeOperatorChange(): undefined {
    return undefined;
  }

  override decodeRegistryChange({ key, value }: KeyedRecord): RegistryChange {
    if (!value) return { kind: 'absent', upstreamId: toId<UpstreamId>(key) };
    const softwareVersion = toId<SoftwareVersion>(value.toString());
    return { kind: 'present', upstream: buildTestUpstream(key, { softwareVersion }) };
  }
}

const buildExchange = (head: Partial<GatewayExchange['head']>): GatewayExchange =>
  ({
    head,
    route: { resumable: true, destinations: [{ service: SERVICE, weight: 1 }] },
  }) as unknown as GatewayExchange;

const createVm = (name: string, topics: Map<LogTopic, KeyedRecord[]>, signal: AbortSignal) => {
  const logger = createLogger({ part: 'test', level: 'error', format: 'json' });
  const log = new SimulatedLog(topics);
  const { faults } = createTestFaults();
  const fleetState = createFleetState(toId<VmId>(name), toId<AvailabilityZoneId>('z1'));
  const pauseMonitor = new PauseMonitor({ readCounts: () => ({}), onPause: () => undefined });
  const upstreamShare = createSocketShares(1_024).upstreams;
  const controllers = createControllers(
    {
      settings: buildSettings(name),
      logger,
      metrics: createGatewayMetrics(createMetricsRegistry()),
      log,
      codec: new VersionCodec(),
      callerProtocol: new TestCallerProtocol(),
      upstreamProtocol: new TestUpstreamProtocol(),
      signal,
    },
    fleetState,
    {
      faults,
      pauseMonitor,
      upstreamShare,
      callerSockets: upstreamShare,
      budget: new ByteBudget(Infinity),
      isLeaving: () => false,
    },
    () => undefined,
  );
  const { upstreams, entries, streamRecords } = controllers;
  streamRecords.start(signal);
  void upstreams.run(signal);
  void entries.run(signal);
  const continuity = createStreamContinuity({ fleetState, ...controllers }, new RequestLog(logger));
  return {
    log,
    readers: { registry: upstreams.reader, entries: entries.reader },
    versions: fleetState.versions,
    /** Passes on the first event of a stream from an upstream. */
    begin(requestId: string, upstreamId: string): void {
      const upstream = fleetState.registry.find(toId<UpstreamId>(upstreamId));
      if (!upstream) throw new Error(`${name} does not know ${upstreamId}`);
      continuity.recordFirstEvent(buildExchange({ requestId }), upstream);
    },
    /** @returns the version at which the stream goes on, or the status of the refusal */
    async takeUp(resumedRequestId: string | undefined): Promise<string | number | undefined> {
      const exchange = buildExchange({ requestId: 'next', lastEventId: '1', resumedRequestId });
      try {
        return (await continuity.resolveOrigin(exchange, SERVICE, signal))?.version;
      } catch (cause) {
        if (isGoldcrestError(cause)) return cause.status;
        throw cause;
      }
    },
  };
};

export type StreamVm = ReturnType<typeof createVm>;

/** VMs that share a log and a registry of upstreams, without sockets, on the clock of the test. */
export const startStreamFleet = (signal: AbortSignal) => {
  setMaxListeners(0, signal);
  const topics = new Map<LogTopic, KeyedRecord[]>();
  const append = (upstreamId: string, value: Buffer | undefined): void => {
    topics.set('upstreams', [...(topics.get('upstreams') ?? []), { key: upstreamId, value }]);
  };
  return {
    startVm: (name: string): StreamVm => createVm(name, topics, signal),
    register: (upstreamId: string, version: string): void =>
      append(upstreamId, Buffer.from(version)),
    remove: (upstreamId: string): void => append(upstreamId, undefined),
  };
};
