import { openBoundConnection } from './boundConnection.js';
import type { BoundConnection } from './boundConnection.js';

/** Keeps idle connections to upstreams for the next request. */
export interface ConnectionPool {
  /** Takes an idle connection, or opens one. */
  acquire(address: string): Promise<BoundConnection>;
  /** Gives a connection back whose last answer has been read whole. */
  release(address: string, connection: BoundConnection): void;
  close(): void;
}

/** Creates an empty pool. */
export const createConnectionPool = (): ConnectionPool => {
  const idle = new Map<string, BoundConnection[]>();
  const takeIdle = (address: string): BoundConnection | undefined => {
    const connections = (idle.get(address) ?? []).filter((connection) => connection.isOpen);
    const last = connections.pop();
    if (connections.length > 0) idle.set(address, connections);
    else idle.delete(address);
    return last;
  };
  return {
    async acquire(address) {
      return takeIdle(address) ?? openBoundConnection(address);
    },
    release(address, connection) {
      if (!connection.isOpen) return;
      const connections = idle.get(address);
      if (connections) connections.push(connection);
      else idle.set(address, [connection]);
    },
    close() {
      [...idle.values()].flat().forEach((connection) => connection.close());
      idle.clear();
    },
  };
};
