import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';
import type { BootId, VmId } from '@goldcrestscale/core';
import type { PeerIdentity } from './authentication.js';
import {
  IDLE_CLOSE_MS,
  MAX_MESSAGE_BYTES,
  MAX_PENDING_GREETINGS,
  MIN_SECRET_BYTES,
  REQUEST_TIMEOUT_MS,
} from './constants.js';
import { acceptGreeting, beginGreeting } from './greeting.js';
import type { GreetingFailure } from './greeting.js';
import { MeshError } from './meshError.js';
import { createMeshStats } from './meshStats.js';
import type { MeshStats } from './meshStats.js';
import { PeerConnector } from './peerConnector.js';
import { PeerLink } from './peerLink.js';
import type { PeerAddress } from './peerLink.js';
import { Session } from './session.js';
import { SessionTable } from './sessionTable.js';

/** Receives log lines of the mesh. */
export interface MeshLogger {
  readonly info: (message: string) => void;
  readonly warn: (message: string) => void;
}

/** Options of the mesh. */
export interface MeshOptions {
  readonly vmId: VmId;
  readonly bootId: BootId;
  /** Where peers connect to; port 0 takes a free one. */
  readonly listen: { readonly host: string; readonly port: number };
  /** Secret that all VMs of the system share. */
  readonly secret: Buffer;
  readonly logger?: MeshLogger;
  /** Closes the mesh. */
  readonly signal: AbortSignal;
  /** Source of jitter, uniform in [0, 1). @default Math.random */
  readonly random?: () => number;
}

const silentLogger: MeshLogger = { info: () => undefined, warn: () => undefined };

/** Messages between VMs over WebSocket connections. */
export class Mesh extends PeerLink {
  override readonly self: PeerIdentity;

  readonly stats: MeshStats = createMeshStats();

  private readonly logger: MeshLogger;

  private readonly sessions = new SessionTable();

  private readonly connectors = new Map<VmId, PeerConnector>();

  private pendingGreetings = 0;

  constructor(
    private readonly options: MeshOptions,
    private readonly server: WebSocketServer,
  ) {
    super();
    this.self = { vmId: options.vmId, bootId: options.bootId };
    this.logger = options.logger ?? silentLogger;
    server.on('connection', (socket) => this.acceptConnection(socket));
    const idleTimer = setInterval(() => this.closeIdle(), IDLE_CLOSE_MS);
    idleTimer.unref();
    const close = (): void => {
      clearInterval(idleTimer);
      this.close();
    };
    if (options.signal.aborted) close();
    else options.signal.addEventListener('abort', close, { once: true });
  }

  /** Port that the mesh listens on. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  override async request(
    vmId: VmId,
    type: string,
    payload: unknown,
    signal: AbortSignal,
    timeoutMs = REQUEST_TIMEOUT_MS,
  ): Promise<unknown> {
    const startedMs = performance.now();
    const session = this.sessions.get(vmId) ?? (await this.openSession(vmId, signal, timeoutMs));
    const restMs = Math.max(0, timeoutMs - (performance.now() - startedMs));
    return session.request(type, payload, signal, restMs);
  }

  override send(vmId: VmId, type: string, payload: unknown): boolean {
    const session = this.sessions.get(vmId);
    if (session) return session.send(type, payload);
    // The next message finds the connection open.
    this.connectors
      .get(vmId)
      ?.connect()
      .catch(() => undefined);
    return false;
  }

  override setPeers(peers: readonly PeerAddress[]): void {
    const wanted = new Map(peers.map((peer) => [peer.vmId, peer]));
    wanted.delete(this.self.vmId);
    this.connectors.forEach((connector, vmId) => {
      if (wanted.get(vmId)?.address === connector.peer.address) return;
      connector.close();
      this.connectors.delete(vmId);
    });
    this.sessions
      .list()
      .filter((session) => !wanted.has(session.peer.vmId))
      .forEach((session) => session.close());
    wanted.forEach((peer) => this.ensureConnector(peer));
  }

  override listConnected(): readonly PeerIdentity[] {
    return this.sessions.listPeers();
  }

  private ensureConnector(peer: PeerAddress): void {
    const known = this.connectors.get(peer.vmId);
    const connector =
      known ??
      new PeerConnector(peer, {
        authenticate: (socket, vmId) => this.authenticate(socket, vmId),
        random: this.options.random ?? Math.random,
      });
    connector.peer = peer;
    this.connectors.set(peer.vmId, connector);
    if (peer.keepOpen && !this.sessions.get(peer.vmId)) {
      connector.connect().catch(() => undefined);
    }
  }

  private async openSession(vmId: VmId, signal: AbortSignal, timeoutMs: number): Promise<Session> {
    const attempt = this.connectors.get(vmId)?.connect() ?? Promise.resolve(false);
    const ended = new AbortController();
    const tooLate = new Promise<false>((resolve) => {
      const timer = setTimeout(() => resolve(false), timeoutMs);
      ended.signal.addEventListener('abort', () => clearTimeout(timer));
      signal.addEventListener('abort', () => resolve(false), { signal: ended.signal });
    });
    await Promise.race([attempt, tooLate]);
    ended.abort();
    const session = this.sessions.get(vmId);
    if (!session) throw new MeshError(`no connection to ${vmId}`, 'unreachable');
    return session;
  }

  private authenticate(socket: WebSocket, vmId: VmId): Promise<boolean> {
    return new Promise((resolve) => {
      beginGreeting(socket, vmId, {
        self: this.self,
        secret: this.options.secret,
        onAuthenticated: (peer) => {
          this.addSession(socket, peer);
          resolve(true);
        },
        onFailed: (failure) => {
          this.noteGreetingFailure(failure, vmId);
          resolve(false);
        },
      });
    });
  }

  private acceptConnection(socket: WebSocket): void {
    socket.on('error', () => undefined);
    if (this.pendingGreetings >= MAX_PENDING_GREETINGS) {
      socket.terminate();
      return;
    }
    this.pendingGreetings += 1;
    acceptGreeting(socket, {
      self: this.self,
      secret: this.options.secret,
      onAuthenticated: (peer) => {
        this.pendingGreetings -= 1;
        this.addSession(socket, peer);
      },
      onFailed: (failure) => {
        this.pendingGreetings -= 1;
        this.noteGreetingFailure(failure, 'a peer');
      },
    });
  }

  private noteGreetingFailure(failure: GreetingFailure, peer: string): void {
    if (failure === 'closed' || failure === 'timeout') return;
    this.stats.authenticationFailures += 1;
    this.logger.warn(`greeting with ${peer} failed: ${failure}`);
  }

  private addSession(socket: WebSocket, peer: PeerIdentity): void {
    const session: Session = new Session(socket, {
      peer,
      stats: this.stats,
      handle: (type, payload, context) => this.handle(type, payload, context),
      onClosed: () => this.removeSession(session),
    });
    this.stats.connectionsOpened += 1;
    this.sessions.add(session);
    this.logger.info(`connected to ${peer.vmId}`);
  }

  private removeSession(session: Session): void {
    const wasLast = this.sessions.remove(session);
    this.stats.connectionsLost += 1;
    if (wasLast) this.connectors.get(session.peer.vmId)?.resume();
  }

  private closeIdle(): void {
    const idleSinceMs = performance.now() - IDLE_CLOSE_MS;
    this.sessions
      .list()
      .filter((session) => session.lastUsedMs < idleSinceMs)
      .filter((session) => !this.connectors.get(session.peer.vmId)?.peer.keepOpen)
      .forEach((session) => session.close());
  }

  private close(): void {
    this.connectors.forEach((connector) => connector.close());
    this.connectors.clear();
    this.sessions.list().forEach((session) => session.close());
    this.server.clients.forEach((socket) => socket.terminate());
    this.server.close();
  }
}

/** Creates the mesh and waits until it listens. */
export const createMesh = async (options: MeshOptions): Promise<Mesh> => {
  if (options.secret.length < MIN_SECRET_BYTES) {
    throw new Error(`the mesh secret has ${options.secret.length} bytes; give ${MIN_SECRET_BYTES}`);
  }
  const server = new WebSocketServer({
    ...options.listen,
    perMessageDeflate: false,
    maxPayload: MAX_MESSAGE_BYTES,
  });
  await once(server, 'listening');
  return new Mesh(options, server);
};
