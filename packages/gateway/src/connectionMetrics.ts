import type { ConnectionLoss, MetricsRegistry } from '@goldcrestscale/runtime';

/** Listener of the gateway. */
export type ListenerName = 'callers' | 'directory' | 'mesh' | 'metrics' | 'readiness';

/** Why the gateway closed a connection that it had accepted. */
export type ClosingReason = 'head-memory' | 'pipelined' | 'unread-response' | ConnectionLoss;

/** Metrics of the connections that the gateway accepts. */
export interface ConnectionMetrics {
  /** Sets the number of open connections of a listener. */
  setOpenConnections(listener: ListenerName, count: number): void;
  /** Counts a connection that the gateway closed by itself. */
  countClosedConnection(listener: ListenerName, reason: ClosingReason): void;
  /** Counts a connection to an upstream that was not opened for want of sockets. */
  countMissingSocket(): void;
}

export const createConnectionMetrics = (metrics: MetricsRegistry): ConnectionMetrics => {
  const openConnections = metrics.createGauge({
    name: 'goldcrest_gateway_open_connections',
    help: 'Connections that are open at a listener.',
    labelNames: ['listener'],
  });
  const closedConnections = metrics.createCounter({
    name: 'goldcrest_gateway_closed_connections_total',
    help: 'Connections that this VM closed without a request to do so, by listener and reason.',
    labelNames: ['listener', 'reason'],
  });
  const missingSockets = metrics.createCounter({
    name: 'goldcrest_gateway_missing_sockets_total',
    help: 'Connections to upstreams that were not opened for want of sockets.',
  });
  return {
    countMissingSocket: () => missingSockets.inc(),
    setOpenConnections: (listener, count) => openConnections.set({ listener }, count),
    countClosedConnection: (listener, reason) => closedConnections.inc({ listener, reason }),
  };
};
