import { UpstreamConnection } from './upstreamConnection.js';

interface AddressPool {
  readonly idle: UpstreamConnection[];
  open: number;
}

/** Keep-alive connection pool with a limit on the open connections of each upstream. */
export class ConnectionPool {
  private readonly pools = new Map<string, AddressPool>();

  constructor(private readonly onOpen: () => void) {}

  /**
   * Reuses an idle connection or opens a new one.
   *
   * @returns undefined if the upstream's connection limit is reached
   */
  acquire(address: string, maxOpen: number): UpstreamConnection | undefined {
    const pool = this.getPool(address);
    for (let idle = pool.idle.pop(); idle; idle = pool.idle.pop()) {
      if (idle.isOpen && !idle.isStale) return idle;
      idle.close();
    }
    if (pool.open >= maxOpen) return undefined;
    pool.open += 1;
    this.onOpen();
    return new UpstreamConnection(address, () => {
      pool.open -= 1;
    });
  }

  /** Returns a connection to the pool after a complete response. */
  release(address: string, connection: UpstreamConnection): void {
    if (!connection.isOpen) return;
    connection.markIdle();
    this.getPool(address).idle.push(connection);
  }

  /** Closes the idle connections to an address at which the upstream is unreachable. */
  closeIdle(address: string): void {
    const pool = this.pools.get(address);
    pool?.idle.splice(0).forEach((connection) => connection.close());
  }

  close(): void {
    [...this.pools.keys()].forEach((address) => this.closeIdle(address));
  }

  private getPool(address: string): AddressPool {
    const existing = this.pools.get(address);
    if (existing) return existing;
    const created: AddressPool = { idle: [], open: 0 };
    this.pools.set(address, created);
    return created;
  }
}
