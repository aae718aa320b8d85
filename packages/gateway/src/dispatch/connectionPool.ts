import { UpstreamConnection } from './upstreamConnection.js';

interface AddressPool {
  readonly idle: UpstreamConnection[];
  open: number;
}

/** Keeps connections to upstreams for further requests, within a bound for each upstream. */
export class ConnectionPool {
  private readonly pools = new Map<string, AddressPool>();

  constructor(private readonly onOpen: () => void) {}

  /**
   * Takes an idle connection or opens one.
   *
   * @returns undefined where the upstream's bound is reached
   */
  acquire(address: string, maxOpen: number): UpstreamConnection | undefined {
    const pool = this.getPool(address);
    for (let idle = pool.idle.pop(); idle; idle = pool.idle.pop()) {
      if (idle.isOpen && !idle.isStale) return idle;
      if (idle.isOpen) {
        pool.open -= 1;
        idle.close();
      }
    }
    if (pool.open >= maxOpen) return undefined;
    pool.open += 1;
    this.onOpen();
    return new UpstreamConnection(address, () => {
      pool.open -= 1;
    });
  }

  /** Gives back a connection whose last answer was whole. */
  release(address: string, connection: UpstreamConnection): void {
    if (!connection.isOpen) return;
    connection.noteIdle();
    this.getPool(address).idle.push(connection);
  }

  /** Ends a connection that is not to be used again. */
  discard(address: string, connection: UpstreamConnection): void {
    if (!connection.isOpen) return;
    this.getPool(address).open -= 1;
    connection.close();
  }

  /** Ends the idle connections to an address whose upstream is gone. */
  closeIdle(address: string): void {
    const pool = this.pools.get(address);
    pool?.idle.splice(0).forEach((connection) => this.discard(address, connection));
  }

  close(): void {
    [...this.pools.keys()].forEach((address) => this.closeIdle(address));
  }

  private getPool(address: string): AddressPool {
    const known = this.pools.get(address);
    if (known) return known;
    const created: AddressPool = { idle: [], open: 0 };
    this.pools.set(address, created);
    return created;
  }
}
