import type { UpstreamReach } from '@goldcrestscale/core';
import { ListenerConnections, readFileDescriptorLimit } from '@goldcrestscale/runtime';
import type { ListenerName } from '../connectionMetrics.js';
import { ConnectionPool } from '../dispatch/connectionPool.js';
import { TunnelLink } from '../dispatch/tunnelLink.js';
import { DirectLink } from '../dispatch/directLink.js';
import type { GatewayOptions } from '../gatewayOptions.js';
import type { PeerPaths } from '../mesh/peerPaths.js';
import { RequestLog } from '../requestLog.js';
import { createSocketShares } from '../socketShares.js';

/** File descriptors of a process if neither settings nor kernel tell them. */
const DEFAULT_FILE_DESCRIPTORS = 1_024;

/** The connections of the HTTP servers. */
export type ServerConnections = Readonly<
  Record<Exclude<ListenerName, 'mesh'>, ListenerConnections>
>;

/** Creates the bounds of all connections; what is closed or not opened for want of sockets is logged and counted. */
export const createConnections = async (
  { settings, logger, metrics }: GatewayOptions,
  reach: UpstreamReach,
  getPaths: () => PeerPaths,
) => {
  const connectionLog = new RequestLog(logger.createPartLogger('connections'));
  const shares = createSocketShares(
    settings.fileDescriptors ?? (await readFileDescriptorLimit()) ?? DEFAULT_FILE_DESCRIPTORS,
  );
  const createListenerConnections = (listener: ListenerName): ListenerConnections =>
    new ListenerConnections({
      share: shares[listener],
      onLoss(reason) {
        metrics.countClosedConnection(listener, reason);
        const open = shares[listener].openCount;
        connectionLog.log('no socket for a connection', { listener, reason, open });
      },
    });
  const sockets = {
    share: shares.upstreams,
    onMissing(address: string) {
      metrics.countMissingSocket();
      const open = shares.upstreams.openCount;
      connectionLog.log('no socket for an upstream', { address, open });
    },
  };
  const connections = new ConnectionPool(() => metrics.countConnection(), sockets, {
    findTunneling() {
      if (!reach.isCutOff || !getPaths().hasPeer) return 'none';
      return reach.hasLiveConnections ? 'new' : 'all';
    },
    createDirect: (address) => new DirectLink(address, reach),
    createTunnel: (upstreamId) => new TunnelLink(upstreamId, getPaths()),
  });
  const serverConnections: ServerConnections = {
    callers: createListenerConnections('callers'),
    directory: createListenerConnections('directory'),
    readiness: createListenerConnections('readiness'),
    metrics: createListenerConnections('metrics'),
  };
  const { upstreams: upstreamShare, callers: callerSockets } = shares;
  return { connections, serverConnections, upstreamShare, callerSockets };
};
