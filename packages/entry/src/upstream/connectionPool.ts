import { openBoundConnection } from './boundConnection.js';
import type { BoundConnection } from './boundConnection.js';

/** Keeps idle upstream connections for reuse. */
export interface ConnectionPool {
  /** Takes an idle connection or opens a new one. */
  acquire(address: string): Promise<BoundConnection>;
  /** Returns a connection to the pool once its last response has been read completely. */
  release(address: string, connection: BoundConnection): void;
  close(): void;
}

/** Creates an empty pool. */
export const createConnectionPool = (): ConnectionPool => {
  const idle = new Map<string, BoundConnection[]>();
  const takeIdle = (address: string): BoundConnection | undefined => {
    const connections = (idle.get(address) ?? []).filter((connection) => connection.isOpen);
    const newest = connections.pop();
    if (connections.length > 0) idle.set(address, connections);
    else idle.delete(address);
    return newest;
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
