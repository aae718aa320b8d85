import type { EjectionChange } from '@goldcrestscale/core';
import type { BytePurpose, MetricsRegistry } from '@goldcrestscale/runtime';
import { createCallMetrics } from './callMetrics.js';
import type { CallMetrics } from './callMetrics.js';
import { createConnectionMetrics } from './connectionMetrics.js';
import type { ConnectionMetrics } from './connectionMetrics.js';
import type { AbandonReason } from './dispatch/invalidResponseError.js';
import { createLatencyMetrics } from './latencyMetrics.js';
import type { LatencyMetrics } from './latencyMetrics.js';
import { createPlaceMetrics } from './placeMetrics.js';
import type { PlaceMetrics } from './placeMetrics.js';
import { createRateMetrics } from './rateMetrics.js';
import type { RateMetrics } from './rateMetrics.js';
import { createSpeedMetrics } from './speedMetrics.js';
import type { SpeedMetrics } from './speedMetrics.js';

/** Counters and latency histograms of the gateway. */
export interface GatewayMetrics
  extends CallMetrics, ConnectionMetrics, LatencyMetrics, PlaceMetrics, RateMetrics, SpeedMetrics {
  /** Counts a response to a caller by route and outcome. */
  countResponse(route: string | undefined, outcome: string): void;
  /** Counts an attempt at an upstream by its outcome. */
  countAttempt(service: string, outcome: string): void;
  /** Counts a complete response that exceeded the latency objective of its route. */
  countLateResponse(route: string): void;
  /** Counts a send that was charged to the retry budget of its service. */
  countRepeat(service: string): void;
  /** Sets the number of VMs that share the retry allowance; undefined while it is not known. */
  setAllowanceVms(count: number | undefined): void;
  /** Counts a response with neither a length nor chunks, by the outcome of its attempt. */
  countUnframedResponse(outcome: string): void;
  /** Counts a response that was refused because it is invalid. */
  countInvalidResponse(): void;
  /** Counts a response that this VM gave up, by the reason. */
  countAbandonedResponse(reason: AbandonReason): void;
  /** Counts an unexpected error by the part of the gateway that caught it. */
  countFault(part: string): void;
  /** Counts a signal to stop while the process was stopping already. */
  countRepeatedStop(): void;
  countConnection(): void;
  /** Counts a request whose caller left, by whether it had been sent to an upstream. */
  countDeparture(route: string | undefined, isSent: boolean): void;
  /** Records a span in which the process handled no events. */
  recordPause(durationMs: number): void;
  /** Records that an upstream was ejected, failed a probe, or was taken back. */
  recordEjection(change: Pick<EjectionChange, 'upstreamId' | 'isEjected' | 'reason'>): void;
  /** Sets the number of VMs that follow this one as their relay. */
  setFollowers(count: number): void;
  /** Counts bytes that this VM passed to the connections of its followers. */
  countFeedBytes(bytes: number): void;
  /** Sets the number of connections of followers and of those who have not proved who they are. */
  setMeshConnections(count: number): void;
  /** Sets the bytes that the connections of the mesh hold: incomplete messages and unsent ones. */
  setMeshHeldBytes(direction: 'received' | 'unsent', bytes: number): void;
  /** Counts a connection of the mesh that this VM closed, by the reason. */
  countMeshClosing(reason: string): void;
  /** Sets the bytes of bodies and responses that are held for callers. */
  setBufferedBytes(bytes: number): void;
  /** Sets the bytes that are held for each purpose. */
  setHeldBytes(purposes: Readonly<Record<BytePurpose, number>>): void;
  /** Sets whether this VM reaches no upstream by itself. */
  setCutOff(isCutOff: boolean): void;
  /** Sets the part of the directory's answers in which this VM wants to be. */
  setCallerShare(share: number): void;
  /** Counts a request of another VM for a connection to an upstream, by the reply. */
  countTunnel(reply: string): void;
  /** Sets the number of connections to upstreams that are open for other VMs. */
  setTunnels(count: number): void;
  render(): Promise<string>;
}

const createEjectionMetrics = (
  metrics: MetricsRegistry,
): Pick<GatewayMetrics, 'recordEjection'> => {
  const ejected = metrics.createGauge({
    name: 'goldcrest_gateway_ejected_upstream',
    help: '1 while this VM sends an upstream nothing but probes, because it failed.',
    labelNames: ['upstream'],
  });
  const ejections = metrics.createCounter({
    name: 'goldcrest_gateway_ejections_total',
    help: 'Ejections of upstreams, failed probes and ends of ejections, by their reason.',
    labelNames: ['reason'],
  });
  return {
    recordEjection({ upstreamId: upstream, isEjected, reason }) {
      ejections.inc({ reason });
      if (isEjected) ejected.set({ upstream }, 1);
      else ejected.remove({ upstream });
    },
  };
};

const createPresenceMetrics = (
  metrics: MetricsRegistry,
): Pick<GatewayMetrics, 'countDeparture' | 'recordPause'> => {
  const departures = metrics.createCounter({
    name: 'goldcrest_gateway_departed_callers_total',
    help: 'Requests whose callers left before the answer was sent; sent: whether an upstream got them.',
    labelNames: ['route', 'sent'],
  });
  const lastPause = metrics.createGauge({
    name: 'goldcrest_gateway_last_pause_ms',
    help: 'Length of the last span in which the process handled no events.',
  });
  const pausedTime = metrics.createCounter({
    name: 'goldcrest_gateway_paused_ms_total',
    help: 'Time in which the process handled no events, in spans of 0.2 s or more.',
  });
  return {
    countDeparture: (route, isSent) =>
      departures.inc({ route: route ?? 'none', sent: isSent ? 'yes' : 'no' }),
    recordPause(durationMs) {
      lastPause.set(durationMs);
      pausedTime.inc(durationMs);
    },
  };
};

const createFeedMetrics = (
  metrics: MetricsRegistry,
): Pick<
  GatewayMetrics,
  'setFollowers' | 'countFeedBytes' | 'setMeshConnections' | 'setMeshHeldBytes' | 'countMeshClosing'
> => {
  const followers = metrics.createGauge({
    name: 'goldcrest_gateway_followers',
    help: 'VMs that follow this one as their relay.',
  });
  const feedBytes = metrics.createCounter({
    name: 'goldcrest_gateway_feed_bytes_total',
    help: 'Bytes that this VM passed to the connections of its followers.',
  });
  const connections = metrics.createGauge({
    name: 'goldcrest_gateway_mesh_connections',
    help: 'Connections at the port of the mesh: followers, and others before their first message.',
  });
  const heldBytes = metrics.createGauge({
    name: 'goldcrest_gateway_mesh_held_bytes',
    help: 'Bytes held for connections of the mesh: messages in part, and those not yet sent.',
    labelNames: ['direction'],
  });
  const closings = metrics.createCounter({
    name: 'goldcrest_gateway_mesh_closings_total',
    help: 'Connections at the port of the mesh that this VM closed, by the reason.',
    labelNames: ['reason'],
  });
  return {
    setMeshConnections: (count) => connections.set(count),
    setMeshHeldBytes: (direction, bytes) => heldBytes.set({ direction }, bytes),
    countMeshClosing: (reason) => closings.inc({ reason }),
    setFollowers: (count) => followers.set(count),
    countFeedBytes: (bytes) => feedBytes.inc(bytes),
  };
};

const createMemoryMetrics = (
  metrics: MetricsRegistry,
): Pick<GatewayMetrics, 'setBufferedBytes' | 'setHeldBytes'> => {
  const bufferedBytes = metrics.createGauge({
    name: 'goldcrest_gateway_buffered_bytes',
    help: 'Bytes of request bodies and responses that are held for callers.',
  });
  const heldBytes = metrics.createGauge({
    name: 'goldcrest_gateway_held_bytes',
    help: 'Bytes of the memory for callers that are held, by purpose.',
    labelNames: ['purpose'],
  });
  return {
    setBufferedBytes: (bytes) => bufferedBytes.set(bytes),
    setHeldBytes(purposes) {
      Object.entries(purposes).forEach(([purpose, bytes]) => heldBytes.set({ purpose }, bytes));
    },
  };
};

const createFaultMetrics = (
  metrics: MetricsRegistry,
): Pick<
  GatewayMetrics,
  'countInvalidResponse' | 'countAbandonedResponse' | 'countFault' | 'countRepeatedStop'
> => {
  const invalidResponses = metrics.createCounter({
    name: 'goldcrest_gateway_invalid_answers_total',
    help: 'Answers of upstreams that were refused: no HTTP, another request, unsigned or too large.',
  });
  const abandonedResponses = metrics.createCounter({
    name: 'goldcrest_gateway_abandoned_answers_total',
    help: 'Answers of upstreams that this VM gave up, by reason.',
    labelNames: ['reason'],
  });
  const faults = metrics.createCounter({
    name: 'goldcrest_gateway_faults_total',
    help: 'Unexpected errors, each of which ended one exchange, record or task; see the log.',
    labelNames: ['part'],
  });
  const repeatedStops = metrics.createCounter({
    name: 'goldcrest_gateway_repeated_stops_total',
    help: 'Signals to stop while the process was stopping already.',
  });
  return {
    countRepeatedStop: () => repeatedStops.inc(),
    countInvalidResponse: () => invalidResponses.inc(),
    countAbandonedResponse: (reason) => abandonedResponses.inc({ reason }),
    countFault: (part) => faults.inc({ part }),
  };
};

const createReachMetrics = (
  metrics: MetricsRegistry,
): Pick<GatewayMetrics, 'setCutOff' | 'countTunnel' | 'setTunnels'> => {
  const cutOff = metrics.createGauge({
    name: 'goldcrest_gateway_cut_off',
    help: '1 while this VM reaches no upstream by itself and asks other VMs.',
  });
  const requests = metrics.createCounter({
    name: 'goldcrest_gateway_tunnel_requests_total',
    help: 'Requests of other VMs for connections to upstreams, by the reply.',
    labelNames: ['reply'],
  });
  const tunnels = metrics.createGauge({
    name: 'goldcrest_gateway_tunnels',
    help: 'Connections to upstreams that are open for other VMs.',
  });
  return {
    setCutOff: (isCutOff) => cutOff.set(isCutOff ? 1 : 0),
    countTunnel: (reply) => requests.inc({ reply }),
    setTunnels: (count) => tunnels.set(count),
  };
};

const createDirectoryMetrics = (
  metrics: MetricsRegistry,
): Pick<GatewayMetrics, 'setCallerShare'> => {
  const callerShare = metrics.createGauge({
    name: 'goldcrest_gateway_caller_share',
    help: "Part of the directory's answers in which this VM wants to be; below 1 it has too much to do.",
  });
  callerShare.set(1);
  return { setCallerShare: (share) => callerShare.set(share) };
};

const createRetryMetrics = (
  metrics: MetricsRegistry,
): Pick<GatewayMetrics, 'countRepeat' | 'setAllowanceVms'> => {
  const repeats = metrics.createCounter({
    name: 'goldcrest_gateway_repeats_total',
    help: 'Sends to upstreams that were charged to the retry budget, by service.',
    labelNames: ['service'],
  });
  const allowanceVms = metrics.createGauge({
    name: 'goldcrest_gateway_allowance_vms',
    help: 'VMs that share the retry allowance; 0 while this VM does not know it and uses no part.',
  });
  return {
    countRepeat: (service) => repeats.inc({ service }),
    setAllowanceVms: (count) => allowanceVms.set(count ?? 0),
  };
};

/** Creates the metrics of the gateway. */
export const createGatewayMetrics = (metrics: MetricsRegistry): GatewayMetrics => {
  const responses = metrics.createCounter({
    name: 'goldcrest_gateway_answers_total',
    help: 'Answers to callers by route and outcome.',
    labelNames: ['route', 'outcome'],
  });
  const attempts = metrics.createCounter({
    name: 'goldcrest_gateway_attempts_total',
    help: 'Attempts at upstreams by service and outcome.',
    labelNames: ['service', 'outcome'],
  });
  const lateResponses = metrics.createCounter({
    name: 'goldcrest_gateway_late_answers_total',
    help: 'Whole answers that came later than the objective of their route.',
    labelNames: ['route'],
  });
  const unframedResponses = metrics.createCounter({
    name: 'goldcrest_gateway_unframed_answers_total',
    help: 'Answers of upstreams that end with their connection, by outcome of the attempt.',
    labelNames: ['outcome'],
  });
  const connections = metrics.createCounter({
    name: 'goldcrest_gateway_connections_total',
    help: 'Connections opened to upstreams.',
  });
  return {
    countResponse: (route, outcome) => responses.inc({ route: route ?? 'none', outcome }),
    countLateResponse: (route) => lateResponses.inc({ route }),
    countAttempt: (service, outcome) => attempts.inc({ service, outcome }),
    countUnframedResponse: (outcome) => unframedResponses.inc({ outcome }),
    countConnection: () => connections.inc(),
    ...createCallMetrics(metrics),
    ...createConnectionMetrics(metrics),
    ...createDirectoryMetrics(metrics),
    ...createEjectionMetrics(metrics),
    ...createFaultMetrics(metrics),
    ...createFeedMetrics(metrics),
    ...createLatencyMetrics(metrics),
    ...createMemoryMetrics(metrics),
    ...createPresenceMetrics(metrics),
    ...createPlaceMetrics(metrics),
    ...createRateMetrics(metrics),
    ...createReachMetrics(metrics),
    ...createRetryMetrics(metrics),
    ...createSpeedMetrics(metrics),
    render: () => metrics.render(),
  };
};
