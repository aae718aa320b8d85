import type { UpstreamId } from '@goldcrestscale/core';
import type { SocketShare } from '@goldcrestscale/runtime';
import { UpstreamConnection } from './upstreamConnection.js';
import { DirectLink } from './directLink.js';
import type { UpstreamLink } from './upstreamLink.js';

const NO_CONNECTIONS: ReadonlySet<UpstreamConnection> = new Set();

interface AddressPool {
  readonly idle: UpstreamConnection[];
  open: number;
}

/** Which connections lead through another VM. */
export type Tunneling = 'none' | 'new' | 'all';

/** Creates the ways to the upstreams. */
export interface UpstreamLinks {
  /**
   * Which connections lead through another VM now: none, only new ones, or all, so that idle ones that
   * lead directly are of no use.
   */
  readonly findTunneling: () => Tunneling;
  readonly createDirect: (address: string) => UpstreamLink;
  readonly createTunnel: (upstreamId: UpstreamId) => UpstreamLink;
}

const DIRECT_LINKS: UpstreamLinks = {
  findTunneling: () => 'none',
  createDirect: (address) => new DirectLink(address),
  createTunnel() {
    throw new TypeError('no other VM can be asked');
  },
};

/** Sockets of all connections to upstreams. */
export interface UpstreamSockets {
  readonly share: SocketShare;
  /** Called when a connection could not be opened for want of sockets. */
  readonly onMissing: (address: string) => void;
}

/** Takes the connection that was used last, and closes those that can't be used any more. */
const takeIdle = (
  { idle }: AddressPool,
  excluded: ReadonlySet<UpstreamConnection>,
): UpstreamConnection | undefined => {
  for (let index = idle.length - 1; index >= 0; index -= 1) {
    const connection = idle[index]!;
    const isUsable = connection.isOpen && !connection.isStale;
    if (!isUsable || !excluded.has(connection)) idle.splice(index, 1);
    if (!isUsable) connection.close();
    else if (!excluded.has(connection)) return connection;
  }
  return undefined;
};

/** Keep-alive connection pool with a limit on the open connections of each upstream. */
export class ConnectionPool {
  private readonly pools = new Map<string, AddressPool>();

  private readonly tunneled = new WeakSet<UpstreamConnection>();

  private tunneling: Tunneling = 'none';

  /** @param sockets undefined if the process has no limit of sockets */
  constructor(
    private readonly onOpen: () => void,
    private readonly sockets?: UpstreamSockets,
    private readonly links = DIRECT_LINKS,
  ) {}

  /**
   * Reuses an idle connection or opens a new one.
   *
   * @param excluded connections that are not reused, but stay idle
   * @param upstreamId the upstream at the address, which other VMs know by its id; undefined if none
   * is to be asked
   * @returns undefined if the upstream's connection limit is reached, or there is no socket for it
   */
  acquire(
    address: string,
    maxOpen: number,
    excluded: ReadonlySet<UpstreamConnection> = NO_CONNECTIONS,
    upstreamId?: UpstreamId,
  ): UpstreamConnection | undefined {
    const pool = this.getPool(address);
    const isTunneled = upstreamId !== undefined && this.updateTunneling() !== 'none';
    const idle = takeIdle(pool, excluded);
    if (idle) return idle;
    if (pool.open >= maxOpen || !this.tryTakeSocket(address)) return undefined;
    pool.open += 1;
    this.onOpen();
    const link = isTunneled
      ? this.links.createTunnel(upstreamId)
      : this.links.createDirect(address);
    const connection = new UpstreamConnection(
      address,
      () => {
        pool.open -= 1;
        this.sockets?.share.release();
      },
      link,
    );
    if (isTunneled) this.tunneled.add(connection);
    return connection;
  }

  /** Returns a connection to the pool after a complete response. */
  release(address: string, connection: UpstreamConnection): void {
    if (!connection.isOpen) return;
    if (connection.isRetired || !this.isUseful(connection, this.updateTunneling())) {
      connection.close();
      return;
    }
    connection.markIdle();
    this.getPool(address).idle.push(connection);
  }

  /** Closes the idle connections to an address at which the upstream is unreachable. */
  closeIdle(address: string): void {
    const pool = this.pools.get(address);
    pool?.idle.splice(0).forEach((connection) => connection.close());
  }

  /** Reports that a connection could not be opened for want of sockets on this VM. */
  reportMissingSocket(address: string): void {
    this.sockets?.onMissing(address);
  }

  close(): void {
    [...this.pools.keys()].forEach((address) => this.closeIdle(address));
  }

  /** Closes the idle connections that lead a way that is not used any more. */
  private updateTunneling(): Tunneling {
    const tunneling = this.links.findTunneling();
    if (tunneling === this.tunneling) return tunneling;
    this.tunneling = tunneling;
    this.pools.forEach(({ idle }) => {
      const useless = idle.filter((connection) => !this.isUseful(connection, tunneling));
      useless.forEach((connection) => {
        idle.splice(idle.indexOf(connection), 1);
        connection.close();
      });
    });
    return tunneling;
  }

  private isUseful(connection: UpstreamConnection, tunneling: Tunneling): boolean {
    if (tunneling === 'new') return true;
    return this.tunneled.has(connection) === (tunneling === 'all');
  }

  /** Takes a socket for a new connection, if need be that of an idle one to another address. */
  private tryTakeSocket(address: string): boolean {
    if (!this.sockets || this.sockets.share.tryOpen()) return true;
    for (const { idle } of this.pools.values()) {
      idle.shift()?.close();
      if (this.sockets.share.tryOpen()) return true;
    }
    this.reportMissingSocket(address);
    return false;
  }

  private getPool(address: string): AddressPool {
    const existing = this.pools.get(address);
    if (existing) return existing;
    const created: AddressPool = { idle: [], open: 0 };
    this.pools.set(address, created);
    return created;
  }
}
